package org.bilberrycart.gateway.discovery

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * A moment in the history of the store, in the order of that history.
 *
 * A store that comes back from an older copy of itself begins a new era and gives the numbers since
 * then out again, so that a number says nothing without its era.
 *
 * @property era how often the store has come back from an older copy.
 * @property number the store's version; grows with each transaction of an era.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class StoreVersion(
    @CborLabel(label = 1) val era: Long,
    @CborLabel(label = 2) val number: Long,
) : Comparable<StoreVersion> {
    override fun compareTo(other: StoreVersion): Int =
        compareValuesBy(this, other, StoreVersion::era, StoreVersion::number)

    /** Returns the form for logs, ERA/NUMBER. */
    override fun toString(): String = "$era/$number"

    /** Holds a constant. */
    public companion object {
        /** Comes before all versions of a store. */
        public val BEFORE_ALL: StoreVersion = StoreVersion(era = -1, number = -1)
    }
}
