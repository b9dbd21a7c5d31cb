package org.bilberrycart.gateway.discovery

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.toPersistentMap
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.withActions

/** Takes changes from peers that the store does not send in time. */
internal class PeerSteps(private val feedSteps: FeedSteps, private val merge: TableMerge) {
    /** Requests the peer's copy if it has a change that the store does not send in time. */
    fun reported(
        state: DiscoveryState,
        event: DiscoveryEvent.PeerReported,
        now: Duration,
    ): Step<DiscoveryState, DiscoveryAction> {
        val feed = state.feeds.getValue(event.table)
        val lead = feed.peerLead?.takeIf { feed.isBehind(it.edition) }
        return when {
            !feed.isBehind(event.edition) -> Step(state)
            feed.isFailing -> askPeer(state, event.table, event.address, now)
            // The first read is not late as long as it does not fail.
            feed.version == null -> Step(state)
            else -> {
                val askAt = lead?.askAt ?: (now + leadTime(event.table, state.peers))
                val next = PeerLead(event.address, event.edition, askAt)
                Step(state.with(event.table, feed.copy(peerLead = next)))
            }
        }
    }

    /** Asks the peer of [lead] for its copy, if this node still lacks the change. */
    fun followLead(
        state: DiscoveryState,
        table: StoreTable,
        feed: TableFeed,
        lead: PeerLead,
        now: Duration,
    ): Step<DiscoveryState, DiscoveryAction> {
        if (!feed.isBehind(lead.edition)) return Step(state.with(table, feed.copy(peerLead = null)))
        val next = lead.copy(askAt = now + REQUEST_INTERVAL)
        return askPeer(state.with(table, feed.copy(peerLead = next)), table, lead.address, now)
    }

    /** Publishes a peer's copy; the call to the store that is pending goes on. */
    fun copyReceived(
        state: DiscoveryState,
        event: DiscoveryEvent.PeerTable,
        now: Duration,
    ): Step<DiscoveryState, DiscoveryAction> {
        val table = event.table
        val feed = state.feeds.getValue(table)
        val page = event.page
        val rows = page.rows.associateBy { it.key }.toPersistentMap()
        if (!feed.isBehind(merge.edition(table, rows, page.version))) return Step(state)
        val isLaterRead = feed.version?.let { page.version > it } ?: true
        val copied = when {
            isLaterRead -> merge.wholeTable(table, feed, rows, page.version, now)
            else -> merge.laterRows(table, feed, rows)
        }
        val next = RowRetention.retainVanished(feed, copied.copy(peerLead = null), now)
        return state.with(table, next).withActions(FeedSteps.publication(table, next))
    }

    private fun askPeer(
        state: DiscoveryState,
        table: StoreTable,
        address: String,
        now: Duration,
    ): Step<DiscoveryState, DiscoveryAction> {
        val feed = state.feeds.getValue(table)
        val isRecent = feed.peerAskedAt?.let { now - it < REQUEST_INTERVAL } == true
        if (isRecent) return Step(state)
        return state.with(table, feed.copy(peerAskedAt = now))
            .withActions(DiscoveryAction.AskPeer(table, address))
    }

    /** Returns how long after a peer this node may learn of a change of [table] from the store. */
    private fun leadTime(table: StoreTable, peers: Int): Duration = when (table) {
        StoreTable.CONFIGURATION -> CONFIGURATION_LEAD_TIME
        StoreTable.UPSTREAMS -> UPSTREAMS_LEAD_TIME + feedSteps.followDelay(table, peers)
    }

    private companion object {
        /** The minimum time between two requests to peers for the same table. */
        val REQUEST_INTERVAL = 300.milliseconds

        val CONFIGURATION_LEAD_TIME = 150.milliseconds
        val UPSTREAMS_LEAD_TIME = 500.milliseconds
    }
}
