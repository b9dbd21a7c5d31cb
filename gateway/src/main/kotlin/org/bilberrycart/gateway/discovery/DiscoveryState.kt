package org.bilberrycart.gateway.discovery

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.gateway.metrics.FeedStats

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
    /** Returns whether [DiscoveryEvent.Tick] may have something to do at [now]. */
    public fun isDue(now: Duration): Boolean = feeds.values.any { it.hasTimedRows || it.isDue(now) }

    /** Returns how current each table is at [now]. */
    public fun stats(now: Duration): List<FeedStats> = feeds.map { (table, feed) ->
        FeedStats(
            table.name,
            feed.version,
            answerAge = feed.answeredAt?.let { now - it },
            callAge = feed.call?.let { (now - it.startsAt).coerceAtLeast(Duration.ZERO) },
        )
    }
}
