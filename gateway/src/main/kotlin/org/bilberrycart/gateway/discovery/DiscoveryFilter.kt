package org.bilberrycart.gateway.discovery

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then

/**
 * Follows the tables of the store: reads each table once, then only its changes.
 *
 * One call about each table is pending at any time. A call that is not answered in time is given up
 * and replaced by a new one, whatever became of its answer; an answer that arrives later is
 * ignored. A change that a peer knows and the store has not sent is taken from the peer.
 *
 * While the store is unavailable, upstreams that are alive cannot renew their rows. Rows that
 * disappear soon after the store has recovered are therefore retained until some time after
 * the recovery.
 */
public class DiscoveryFilter(private val settings: DiscoverySettings = DiscoverySettings()) :
    Filter<DiscoveryState, DiscoveryEvent, DiscoveryAction> {
    private val calls = StoreCalls(settings)
    private val feedSteps = FeedSteps(settings)
    private val peerSteps = PeerSteps(feedSteps)

    override fun step(
        state: DiscoveryState,
        event: DiscoveryEvent,
        now: Duration,
    ): Step<DiscoveryState, DiscoveryAction> = when (event) {
        DiscoveryEvent.Start -> forEachFeed(state) { next, table, feed ->
            feedSteps.read(next, table, feed, now)
        }
        is DiscoveryEvent.Replied -> replied(state, event, now)
        is DiscoveryEvent.PeerVersion -> peerSteps.versionReported(state, event, now)
        is DiscoveryEvent.PeerTable -> peerSteps.copyReceived(state, event, now)
        is DiscoveryEvent.PeerCountChanged -> Step(state.copy(peers = event.count))
        DiscoveryEvent.Tick -> tick(state, now)
    }

    private fun replied(
        state: DiscoveryState,
        event: DiscoveryEvent.Replied,
        now: Duration,
    ): Step<DiscoveryState, DiscoveryAction> {
        val table = event.table
        val feed = state.feeds.getValue(table)
        val call = feed.call?.takeIf { it.number == event.call }
            ?: return Step(state.with(table, lateReply(feed, event, now)))
        val answered = noteEra(calls.answered(markRecovered(feed, now), call, now), event.reply)
        return when (val reply = event.reply) {
            is TableReply.Failed ->
                failed(state, table, feed.copy(call = null), reply.cause, now, retryDelay(feed))
            is TableReply.Page -> page(state, table, answered, reply, now)
            is TableReply.Changes -> changed(state, table, answered, call, reply, now)
            TableReply.HistoryLost -> feedSteps.read(
                state,
                table,
                answered.copy(partialRead = null),
                now,
            )
        }.let { step ->
            val hasRecovered = feed.isFailing && event.reply !is TableReply.Failed
            val note = DiscoveryAction.StoreStatusChanged(
                table,
                isAvailable = true,
                "after ${feed.failures} failures",
            )
            val notes = listOfNotNull(note.takeIf { hasRecovered }, eraChange(table, feed, event.reply))
            step.copy(actions = step.actions.addAll(notes))
        }
    }

    private fun noteEra(feed: TableFeed, reply: TableReply): TableFeed = when (reply) {
        is TableReply.Page -> feed.copy(era = reply.era)
        is TableReply.Changes -> feed.copy(era = reply.era)
        is TableReply.Failed, TableReply.HistoryLost -> feed
    }

    private fun eraChange(
        table: StoreTable,
        feed: TableFeed,
        reply: TableReply,
    ): DiscoveryAction.EraChanged? {
        val before = feed.era
        val (after, version) = when (reply) {
            is TableReply.Page -> reply.era to reply.version
            is TableReply.Changes -> reply.era to reply.version
            is TableReply.Failed, TableReply.HistoryLost -> return null
        }
        if (before == null || before == after) return null
        return DiscoveryAction.EraChanged(table, before, after, version, feed.version)
    }

    /** Starts the next call after one that failed because of [cause]. */
    private fun failed(
        state: DiscoveryState,
        table: StoreTable,
        feed: TableFeed,
        cause: String,
        now: Duration,
        delay: Duration,
    ): Step<DiscoveryState, DiscoveryAction> {
        val version = feed.version.takeIf { feed.partialRead == null }
        val next = feed.copy(failures = feed.failures + 1, partialRead = null)
        val step = when (version) {
            null -> feedSteps.read(state, table, next, now, delay = delay)
            else -> feedSteps.follow(state, table, next, version, now, delay)
        }
        val lost = DiscoveryAction.StoreStatusChanged(table, isAvailable = false, cause)
        return if (feed.isFailing) step else step.copy(actions = step.actions.add(lost))
    }

    private fun retryDelay(feed: TableFeed): Duration =
        minOf(FIRST_RETRY_DELAY * (feed.failures + 1), MAX_RETRY_DELAY)

    /** Returns [feed] after the reply to a call that was given up, which only tells of its time. */
    private fun lateReply(
        feed: TableFeed,
        event: DiscoveryEvent.Replied,
        now: Duration,
    ): TableFeed = when (event.reply) {
        is TableReply.Failed -> feed
        is TableReply.Page, is TableReply.Changes, TableReply.HistoryLost ->
            calls.answeredLate(feed, event.call, now)
    }

    /**
     * Notes that the store answers again.
     *
     * A short time without answers is a fault of a connection: the store was not away for so long
     * that upstreams could not renew their rows.
     */
    private fun markRecovered(feed: TableFeed, now: Duration): TableFeed {
        val hasRefused = feed.failures > feed.unansweredCalls
        val wasSilent = feed.answeredAt?.let { now - it >= settings.applyTime } ?: true
        val wasAway = feed.isFailing && (hasRefused || wasSilent)
        return feed.copy(
            failures = 0,
            unansweredCalls = 0,
            recoveredAt = if (wasAway) now else feed.recoveredAt,
        )
    }

    private fun page(
        state: DiscoveryState,
        table: StoreTable,
        feed: TableFeed,
        page: TableReply.Page,
        now: Duration,
    ): Step<DiscoveryState, DiscoveryAction> {
        val before = feed.partialRead ?: PartialRead(persistentMapOf(), page.version)
        val read = before.copy(rows = before.rows.putAll(page.rows.associateBy { it.key }))
        val nextKey = page.next
        val version = feed.version ?: -1
        return when {
            nextKey != null -> feedSteps.read(
                state,
                table,
                feed.copy(partialRead = read),
                now,
                nextKey,
            )
            // A peer's copy, which arrived meanwhile, has changes that these rows lack.
            read.version < version -> {
                val wasInParts = feed.partialRead != null
                stale(state, table, feed.copy(partialRead = null), now, readAgain = wasInParts)
            }
            else -> {
                val whole = feed.withWholeTable(read.rows, read.version)
                    .copy(partialRead = null, staleSince = null)
                val isFirstPage = feed.partialRead == null
                val delay = if (isFirstPage) {
                    feedSteps.followDelay(
                        table,
                        state.peers,
                    )
                } else {
                    Duration.ZERO
                }
                feedSteps.publishAndFollow(state, table, feed, whole, now, delay)
            }
        }
    }

    private fun changed(
        state: DiscoveryState,
        table: StoreTable,
        feed: TableFeed,
        call: PendingCall,
        changes: TableReply.Changes,
        now: Duration,
    ): Step<DiscoveryState, DiscoveryAction> {
        val known = feed.version ?: -1
        val next = feed.copy(staleSince = null)
        return when {
            changes.version < (call.after ?: -1) -> stale(
                state,
                table,
                feed,
                now,
                readAgain = false,
            )
            // A peer's copy is newer.
            changes.version < known -> feedSteps.follow(state, table, next, known, now)
            changes.rows.isEmpty() -> {
                val current = next.copy(version = changes.version)
                feedSteps.follow(state, table, current, changes.version, now)
            }
            else -> {
                val rows = changes.rows.fold(feed.rows) { rows, row ->
                    if (row.value == null) rows.remove(row.key) else rows.put(row.key, row)
                }
                val after = next.withChanges(rows, changes.rows, changes.version)
                val delay = feedSteps.followDelay(table, state.peers)
                feedSteps.publishAndFollow(state, table, feed, after, now, delay)
            }
        }
    }

    /**
     * Handles an answer that is older than what is known.
     *
     * If the store goes on answering so, what is known is wrong, and the table is read as it is
     * now. For a while, the store may only be behind.
     */
    private fun stale(
        state: DiscoveryState,
        table: StoreTable,
        feed: TableFeed,
        now: Duration,
        readAgain: Boolean,
    ): Step<DiscoveryState, DiscoveryAction> {
        val version = feed.version
        val since = feed.staleSince ?: now
        val next = feed.copy(staleSince = since)
        return when {
            version == null || now - since >= settings.maxStaleTime ->
                disproved(state, table, feed, now)
            readAgain -> feedSteps.read(state, table, next, now, delay = FIRST_RETRY_DELAY)
            else -> feedSteps.follow(state, table, next, version, now, FIRST_RETRY_DELAY)
        }
    }

    /** Reads [table] anew, without regard to the version that was known. */
    private fun disproved(
        state: DiscoveryState,
        table: StoreTable,
        feed: TableFeed,
        now: Duration,
    ): Step<DiscoveryState, DiscoveryAction> {
        val doubtful = feed.copy(
            version = null,
            changedVersion = null,
            staleSince = null,
            disprovedVersion = feed.version,
            peerLead = null,
        )
        val step = feedSteps.read(state, table, doubtful, now)
        val note = DiscoveryAction.VersionDisproved(table, feed.version)
        return step.copy(actions = step.actions.add(note))
    }

    private fun tick(state: DiscoveryState, now: Duration): Step<DiscoveryState, DiscoveryAction> =
        forEachFeed(state) { next, table, feed ->
            val call = feed.call
            val lead = feed.peerLead
            when {
                call != null && call.dueAt <= now -> giveUp(next, table, feed, call, now)
                lead != null && lead.askAt <= now -> peerSteps.followLead(
                    next,
                    table,
                    feed,
                    lead,
                    now,
                )
                else -> RowRetention.expire(next, table, feed, now)
            }
        }

    private fun giveUp(
        state: DiscoveryState,
        table: StoreTable,
        feed: TableFeed,
        call: PendingCall,
        now: Duration,
    ): Step<DiscoveryState, DiscoveryAction> {
        val age = now - call.startsAt
        val cause = "no answer in ${age.inWholeMilliseconds} ms"
        val step =
            failed(state, table, calls.givenUp(feed, call), cause, now, delay = Duration.ZERO)
        val note = DiscoveryAction.GiveUp(table, call.number, age)
        return step.copy(actions = step.actions.add(0, note))
    }

    /** Handles each feed of [state] with [handle], one after the other. */
    private fun forEachFeed(
        state: DiscoveryState,
        handle: (DiscoveryState, StoreTable, TableFeed) -> Step<DiscoveryState, DiscoveryAction>,
    ): Step<DiscoveryState, DiscoveryAction> = StoreTable.entries.fold(Step(state)) { step, table ->
        step.then { handle(it, table, it.feeds.getValue(table)) }
    }

    private companion object {
        val FIRST_RETRY_DELAY = 100.milliseconds
        val MAX_RETRY_DELAY = 500.milliseconds
    }
}
