package org.bilberrycart.gateway.discovery

import kotlinx.collections.immutable.PersistentList
import org.bilberrycart.gateway.model.ServingConfiguration

/** What a row of [StoreTable.CONFIGURATION] holds. */
public sealed class ConfigurationRow {
    /**
     * A [configuration].
     *
     * @property leftOut the places of its parts that cannot be parsed and are missing from it.
     */
    public data class Read(
        val configuration: ServingConfiguration,
        val leftOut: PersistentList<String>,
    ) : ConfigurationRow()

    /** A configuration that cannot be parsed. */
    public data object Unreadable : ConfigurationRow()

    /** Something other than the configuration. */
    public data object Other : ConfigurationRow()
}
