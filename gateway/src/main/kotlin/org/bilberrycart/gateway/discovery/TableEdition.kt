package org.bilberrycart.gateway.discovery

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * How new the contents of a table are, by which nodes tell who knows of a change that others lack.
 *
 * The configuration has a version of its own, which its operator gives and which never goes back.
 * It decides first: for a while, a store that came back from an older copy holds an older
 * configuration at a later version of the store.
 *
 * @property configuration the operator's version of the configuration; 0 in other tables.
 * @property changedAt the version of the store at the last change of a row.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class TableEdition(
    @CborLabel(label = 1) val configuration: Long,
    @CborLabel(label = 2) val changedAt: StoreVersion,
) : Comparable<TableEdition> {
    override fun compareTo(other: TableEdition): Int =
        compareValuesBy(this, other, TableEdition::configuration, TableEdition::changedAt)

    /** Holds a constant. */
    public companion object {
        /** Comes before all editions of a table. */
        public val BEFORE_ALL: TableEdition =
            TableEdition(configuration = -1, StoreVersion.BEFORE_ALL)
    }
}
