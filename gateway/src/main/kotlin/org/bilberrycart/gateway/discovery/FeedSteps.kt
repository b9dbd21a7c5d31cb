package org.bilberrycart.gateway.discovery

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.withActions

/** Starts the calls to the store about a table, and publishes its rows. */
internal class FeedSteps(private val settings: DiscoverySettings) {
    private val calls = StoreCalls(settings)

    /** Starts a read of a page of [table] after [delay], from key [from]. */
    fun read(
        state: DiscoveryState,
        table: StoreTable,
        feed: TableFeed,
        now: Duration,
        from: String? = null,
        delay: Duration = Duration.ZERO,
    ): Step<DiscoveryState, DiscoveryAction> =
        started(state, table, calls.read(table, feed, now, from, delay))

    /** Starts a request, after [delay], for the changes of [table] since [version]. */
    fun follow(
        state: DiscoveryState,
        table: StoreTable,
        feed: TableFeed,
        version: StoreVersion,
        now: Duration,
        delay: Duration = Duration.ZERO,
    ): Step<DiscoveryState, DiscoveryAction> =
        started(state, table, calls.follow(table, feed, version, now, state.peers, delay))

    /**
     * Publishes the rows of [after], which follows [before] and has a version, and requests further
     * changes.
     */
    fun publishAndFollow(
        state: DiscoveryState,
        table: StoreTable,
        before: TableFeed,
        after: TableFeed,
        now: Duration,
        delay: Duration,
    ): Step<DiscoveryState, DiscoveryAction> {
        val next = RowRetention.retainVanished(before, after, now)
        val version = checkNotNull(next.version) { "$table was not read" }
        val step = follow(state, table, next, version, now, delay)
        return step.copy(actions = step.actions.add(0, publication(table, next)))
    }

    /**
     * Returns how long to wait before the next request for changes of [table].
     *
     * Upstreams change often. The delay batches their changes and grows with the number of [peers]
     * that read the store as well.
     */
    fun followDelay(table: StoreTable, peers: Int): Duration = when (table) {
        StoreTable.CONFIGURATION -> Duration.ZERO
        StoreTable.UPSTREAMS -> {
            val perPeer =
                if (peers <= SMALL_PEER_COUNT) FOLLOW_DELAY_PER_PEER else LONG_DELAY_PER_PEER
            minOf(perPeer * peers, settings.maxFollowDelay)
        }
    }

    private fun started(
        state: DiscoveryState,
        table: StoreTable,
        call: StoreCalls.Started,
    ): Step<DiscoveryState, DiscoveryAction> = state.with(table, call.feed).withActions(call.action)

    companion object {
        private val FOLLOW_DELAY_PER_PEER = 25.milliseconds
        private const val SMALL_PEER_COUNT = 8

        /** Used for more than [SMALL_PEER_COUNT] peers, which all pay for calls of the store. */
        private val LONG_DELAY_PER_PEER = 50.milliseconds

        /** Returns the action that publishes the rows of [feed]. */
        fun publication(table: StoreTable, feed: TableFeed): DiscoveryAction {
            val known = feed.rows.filterKeys { it !in feed.removed.withheldUntil }
            val retained = feed.retainedRows.values.map { it.row }
            val rows = (known.values + retained).toPersistentList()
            return DiscoveryAction.Publish(table, rows, feed.version)
        }
    }
}

/** Returns this state with [feed] as that of [table]. */
internal fun DiscoveryState.with(table: StoreTable, feed: TableFeed): DiscoveryState =
    copy(feeds = feeds.put(table, feed))
