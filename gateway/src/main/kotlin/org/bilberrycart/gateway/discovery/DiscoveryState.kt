package org.bilberrycart.gateway.discovery

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The state of discovery.
 *
 * @property feeds how far each table has been read.
 * @property peers the number of other nodes that read the store.
 */
public data class DiscoveryState(
    val feeds: PersistentMap<StoreTable, TableFeed> =
        persistentMapOf<StoreTable, TableFeed>().putAll(
            StoreTable.entries.associateWith {
                TableFeed()
            },
        ),
    val peers: Int = 0,
) {
    /** Whether rows are retained that will expire. */
    public val hasRetainedRows: Boolean
        get() = feeds.values.any { it.retainedRows.isNotEmpty() }
}
