package org.bilberrycart.gateway.discovery

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
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
 *
 * A store may come back from an older copy of itself, in a new era. The tables are read as a whole
 * then, and what is known stays where it is later than the copy.
 *
 * @property settings the timeouts.
 * @param rows parses rows, to tell which of two is later.
 */
public class DiscoveryFilter(
    private val settings: DiscoverySettings = DiscoverySettings(),
    rows: RowReader,
) : Filter<DiscoveryState, DiscoveryEvent, DiscoveryAction> {
    private val calls = StoreCalls(settings)
    private val feedSteps = FeedSteps(settings)
    private val merge = TableMerge(RowOrder(rows))
    private val replySteps = ReplySteps(settings, feedSteps, merge)
    private val peerSteps = PeerSteps(feedSteps, merge)

    override fun step(
        state: DiscoveryState,
        event: DiscoveryEvent,
        now: Duration,
    ): Step<DiscoveryState, DiscoveryAction> = when (event) {
        DiscoveryEvent.Start -> forEachFeed(state) { next, table, feed ->
            feedSteps.read(next, table, feed, now)
        }
        is DiscoveryEvent.Replied -> replied(state, event, now)
        is DiscoveryEvent.PeerReported -> peerSteps.reported(state, event, now)
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
        val answered = calls.answered(markRecovered(feed, now), call, now)
        return when (val reply = event.reply) {
            is TableReply.Failed ->
                failed(state, table, feed.copy(call = null), reply.cause, now, retryDelay(feed))
            is TableReply.Page -> replySteps.page(state, table, answered, reply, now)
            is TableReply.Changes -> replySteps.changed(state, table, answered, call, reply, now)
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
            if (hasRecovered) step.copy(actions = step.actions.add(note)) else step
        }
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
