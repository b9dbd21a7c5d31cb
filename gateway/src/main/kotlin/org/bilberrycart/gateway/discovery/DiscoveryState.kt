package org.bilberrycart.gateway.discovery

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** The tables as far as they were read, and how many [peers] read them too. */
public data class DiscoveryState(
    val feeds: PersistentMap<StoreTable, TableFeed> =
        persistentMapOf<StoreTable, TableFeed>().putAll(
            StoreTable.entries.associateWith {
                TableFeed()
            },
        ),
    val peers: Int = 0,
)
