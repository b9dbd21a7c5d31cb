package org.bilberrycart.gateway.discovery

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step

/**
 * Follows the tables of the store: reads each once, then only its changes.
 *
 * Rows that vanish while the store is away or has just come back may be alive and unable to say so;
 * they count until [LAPSE_GRACE] after its return.
 */
public class DiscoveryFilter : Filter<DiscoveryState, DiscoveryEvent, DiscoveryAction> {
    override fun step(
        state: DiscoveryState,
        event: DiscoveryEvent,
        now: Duration,
    ): Step<DiscoveryState, DiscoveryAction> = when (event) {
        DiscoveryEvent.Start -> Step(
            state,
            StoreTable.entries.map { read(it, from = null) }.toPersistentList(),
        )
        is DiscoveryEvent.Replied -> replied(state, event.table, event.reply, now)
        is DiscoveryEvent.PeerKnows -> peerKnows(state, event, now)
        is DiscoveryEvent.PeerSent -> peerSent(state, event, now)
        is DiscoveryEvent.Peers -> Step(state.copy(peers = event.count))
        DiscoveryEvent.Tick -> tick(state, now)
    }

    private fun replied(
        state: DiscoveryState,
        table: StoreTable,
        reply: StoreReply,
        now: Duration,
    ): Step<DiscoveryState, DiscoveryAction> {
        val feed = state.feeds.getValue(table)
        return when (reply) {
            is StoreReply.Failed -> failed(state, table, feed, reply.cause)
            is StoreReply.Page -> page(state, table, back(feed, now), reply, now)
            is StoreReply.Changes -> changed(state, table, back(feed, now), reply, now)
            StoreReply.HistoryLost -> Step(
                state.with(table, back(feed, now).copy(partial = persistentMapOf())),
                persistentListOf(read(table, from = null)),
            )
        }.let { step ->
            val isBack = feed.isFailing && reply !is StoreReply.Failed
            val note = DiscoveryAction.Store(
                table,
                isBack = true,
                "after ${feed.failures} failures",
            )
            if (isBack) step.copy(actions = step.actions.add(note)) else step
        }
    }

    /** A node that can't read the store takes what a peer has read. */
    private fun peerKnows(
        state: DiscoveryState,
        event: DiscoveryEvent.PeerKnows,
        now: Duration,
    ): Step<DiscoveryState, DiscoveryAction> {
        val feed = state.feeds.getValue(event.table)
        val isNewer = event.version > (feed.version ?: -1)
        val isRecent = feed.askedAt?.let { now - it < ASK_INTERVAL } == true
        if (!feed.isFailing || !isNewer || isRecent) return Step(state)
        return Step(
            state.with(event.table, feed.copy(askedAt = now)),
            persistentListOf(DiscoveryAction.AskPeer(event.table, event.address)),
        )
    }

    private fun peerSent(
        state: DiscoveryState,
        event: DiscoveryEvent.PeerSent,
        now: Duration,
    ): Step<DiscoveryState, DiscoveryAction> {
        val feed = state.feeds.getValue(event.table)
        if (event.page.version <= (feed.version ?: -1)) return Step(state)
        val next = feed.copy(
            rows = event.page.rows.associateBy { it.key }.toPersistentMap(),
            version = event.page.version,
        )
        val published = publish(state, event.table, feed, next, now)
        return published.copy(
            actions = published.actions.removeAll {
                it is DiscoveryAction.Follow
            },
        )
    }

    private fun failed(
        state: DiscoveryState,
        table: StoreTable,
        feed: TableFeed,
        cause: String,
    ): Step<DiscoveryState, DiscoveryAction> {
        val delay = minOf(FIRST_RETRY * (feed.failures + 1), LONGEST_RETRY)
        val version = feed.version
        val next = when {
            version != null && feed.partial.isEmpty() ->
                DiscoveryAction.Follow(table, version, delay)
            else -> DiscoveryAction.Read(table, from = null, delay)
        }
        val lost = DiscoveryAction.Store(table, isBack = false, cause)
        return Step(
            state.with(table, feed.copy(failures = feed.failures + 1, partial = persistentMapOf())),
            if (feed.isFailing) persistentListOf(next) else persistentListOf(next, lost),
        )
    }

    private fun back(feed: TableFeed, now: Duration): TableFeed = when {
        feed.isFailing -> feed.copy(failures = 0, returnedAt = now)
        else -> feed
    }

    private fun page(
        state: DiscoveryState,
        table: StoreTable,
        feed: TableFeed,
        page: StoreReply.Page,
        now: Duration,
    ): Step<DiscoveryState, DiscoveryAction> {
        val read = feed.partial.putAll(page.rows.associateBy { it.key })
        if (page.next != null) {
            return Step(
                state.with(table, feed.copy(partial = read)),
                persistentListOf(read(table, page.next)),
            )
        }
        val whole = feed.copy(rows = read, partial = persistentMapOf(), version = page.version)
        return publish(state, table, feed, whole, now)
    }

    private fun changed(
        state: DiscoveryState,
        table: StoreTable,
        feed: TableFeed,
        changes: StoreReply.Changes,
        now: Duration,
    ): Step<DiscoveryState, DiscoveryAction> {
        val known = feed.version
        if (known != null && changes.version < known) {
            return Step(state.with(table, feed), persistentListOf(follow(table, known)))
        }
        val rows = changes.rows.fold(feed.rows) { rows, row ->
            if (row.value == null) rows.remove(row.key) else rows.put(row.key, row)
        }
        val next = feed.copy(rows = rows, version = changes.version)
        if (changes.rows.isEmpty()) {
            return Step(state.with(table, next), persistentListOf(follow(table, changes.version)))
        }
        return publish(state, table, feed, next, now)
    }

    private fun publish(
        state: DiscoveryState,
        table: StoreTable,
        before: TableFeed,
        after: TableFeed,
        now: Duration,
    ): Step<DiscoveryState, DiscoveryAction> {
        val returnedAt = after.returnedAt
        val isUncertain = returnedAt != null && now - returnedAt < LAPSE_GRACE
        val vanished = before.rows.filterKeys { it !in after.rows }
        val lapsed = when {
            isUncertain -> vanished.mapValues { LapsedRow(it.value, returnedAt!! + LAPSE_GRACE) }
            else -> emptyMap()
        }
        val kept = (before.lapsed + lapsed).filterKeys { it !in after.rows }.toPersistentMap()
        val next = after.copy(lapsed = kept)
        return Step(
            state.with(table, next),
            persistentListOf(
                DiscoveryAction.Publish(table, visible(next)),
                DiscoveryAction.Follow(table, after.version ?: 0, pause(table, state.peers)),
            ),
        )
    }

    /** Upstreams come and go all the time: their changes are taken together, the more nodes ask. */
    private fun pause(table: StoreTable, peers: Int): Duration = when (table) {
        StoreTable.CONFIGURATION -> Duration.ZERO
        StoreTable.UPSTREAMS -> minOf(PAUSE_PER_PEER * peers, LONGEST_PAUSE)
    }

    private fun tick(state: DiscoveryState, now: Duration): Step<DiscoveryState, DiscoveryAction> {
        val expired = state.feeds.filterValues { feed ->
            feed.lapsed.any { it.value.until <= now } && !feed.isFailing
        }
        val next = expired.entries.fold(state) { next, (table, feed) ->
            val left = feed.lapsed.filterValues { it.until > now }.toPersistentMap()
            next.with(table, feed.copy(lapsed = left))
        }
        return Step(
            next,
            expired.keys.map { DiscoveryAction.Publish(it, visible(next.feeds.getValue(it))) }
                .toPersistentList(),
        )
    }

    private fun visible(feed: TableFeed): PersistentList<StoreRow> =
        (feed.rows.values + feed.lapsed.values.map { it.row }).toPersistentList()

    private fun read(table: StoreTable, from: String?): DiscoveryAction =
        DiscoveryAction.Read(table, from, Duration.ZERO)

    private fun follow(table: StoreTable, version: Long): DiscoveryAction =
        DiscoveryAction.Follow(table, version, Duration.ZERO)

    private fun DiscoveryState.with(table: StoreTable, feed: TableFeed): DiscoveryState =
        copy(feeds = feeds.put(table, feed))

    private companion object {
        val FIRST_RETRY = 100.milliseconds
        val LONGEST_RETRY = 500.milliseconds

        val PAUSE_PER_PEER = 25.milliseconds

        /** Well below the time for which a leaving upstream still serves. */
        val LONGEST_PAUSE = 750.milliseconds

        /** The least time between two questions to peers about a table. */
        val ASK_INTERVAL = 300.milliseconds

        /** Upstreams that live register again within this time of the store's return. */
        val LAPSE_GRACE = 2.2.seconds
    }
}
