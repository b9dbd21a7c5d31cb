package org.bilberrycart.gateway.discovery

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.gateway.model.Body

/**
 * A store in virtual time that drives a [DiscoveryFilter], as a node's sink and timer do.
 *
 * Its [table] changes at [changeAt]; the calls about it with the numbers [silent] get no reply.
 *
 * @property pages the number of pages in which the table is read.
 * @property answerTime how long each answer takes.
 */
internal class SimulatedStore(
    private val table: StoreTable,
    private val changeAt: Duration,
    private val silent: Set<Long> = emptySet(),
    private val pages: Int = 1,
    private val answerTime: Duration = 4.milliseconds,
) {
    /** A reply to the call with number [call] that arrives at [at]. */
    private data class Reply(
        val table: StoreTable,
        val call: Long,
        val at: Duration,
        val reply: TableReply,
    )

    private val filter = DiscoveryFilter(rows = TestRows)
    private var state = DiscoveryState()
    private var now = Duration.ZERO
    private var replies = emptyList<Reply>()
    private var knownAt: Duration? = null
    private val counts = mutableMapOf<StoreTable, Int>()

    /** Returns how many calls about [table] have been made. */
    fun calls(table: StoreTable): Int = counts[table] ?: 0

    /** Returns when the change is known; fails if it is not by [limit]. */
    fun runUntilKnown(peers: Int, limit: Duration): Duration {
        run(peers, limit) { knownAt != null }
        return checkNotNull(knownAt) { "the change is not known after $limit" }
    }

    /** Goes on to the time [until] or until [isDone]. */
    fun run(peers: Int, until: Duration, isDone: () -> Boolean = { false }) {
        if (now == Duration.ZERO) {
            handle(DiscoveryEvent.PeerCountChanged(peers))
            handle(DiscoveryEvent.Start)
        }
        while (now < until && !isDone()) {
            now += STEP
            val due = replies.filter { it.at <= now }
            replies = replies - due.toSet()
            due.forEach { handle(DiscoveryEvent.Replied(it.table, it.call, it.reply)) }
            if (state.isDue(now)) handle(DiscoveryEvent.Tick)
        }
    }

    private fun handle(event: DiscoveryEvent) {
        val step = filter.step(state, event, now)
        state = step.state
        step.actions.forEach(::execute)
    }

    private fun execute(action: DiscoveryAction) = when (action) {
        is DiscoveryAction.Read -> read(action)
        is DiscoveryAction.Follow -> follow(action)
        is DiscoveryAction.Publish -> {
            val isChanged = action.rows.any { it.version.number == CHANGED_VERSION }
            if (action.table == table && isChanged) knownAt = knownAt ?: now
            Unit
        }
        else -> Unit
    }

    private fun read(action: DiscoveryAction.Read) {
        val at = now + action.delay + answerTime
        val number = action.from?.toInt() ?: 1
        val next = (number + 1).toString().takeIf { action.table == table && number < pages }
        val row = StoreRow("row$number", Body.of("{}"), version(action.table, at))
        val page = TableReply.Page(persistentListOf(row), version(action.table, at), next)
        reply(action.table, action.call, at, page)
    }

    private fun follow(action: DiscoveryAction.Follow) {
        val from = now + action.delay
        val isNewer = action.version.number < CHANGED_VERSION && action.table == table
        val changeSeenAt = maxOf(changeAt, from)
        val answeredAt = if (isNewer) {
            minOf(changeSeenAt, from + action.wait)
        } else {
            from +
                action.wait
        }
        val version = version(action.table, answeredAt)
        val rows = when {
            version <= action.version -> persistentListOf()
            else -> persistentListOf(StoreRow("row1", Body.of("{}"), version))
        }
        val changes = TableReply.Changes(rows, version)
        reply(action.table, action.call, answeredAt + answerTime, changes)
    }

    private fun reply(table: StoreTable, call: Long, at: Duration, reply: TableReply) {
        counts.merge(table, 1, Int::plus)
        if (table == this.table && call in silent) return
        replies = replies + Reply(table, call, at, reply)
    }

    private fun version(table: StoreTable, at: Duration): StoreVersion {
        val hasChanged = table == this.table && at >= changeAt
        return StoreVersion(era = 0, if (hasChanged) CHANGED_VERSION else FIRST_VERSION)
    }

    private companion object {
        /** The time between two looks at the replies; a node's timer fires each 20 ms. */
        val STEP = 20.milliseconds
        const val FIRST_VERSION = 5L
        const val CHANGED_VERSION = 9L
    }
}
