package org.bilberrycart.gateway.discovery

import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.gateway.model.Body

/** Replies [before] the [last] event, and the [actions] that this leads to. */
internal data class DiscoveryCase(
    val name: String,
    val before: List<TableReply>,
    val wait: Duration = 1.seconds,
    val last: DiscoveryEvent,
    val actions: List<String>,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

/** Builds events of discovery and describes what it does. */
internal object DiscoveryFixture {
    /** Returns a row with [key] of version 1. */
    fun row(key: String) = StoreRow(key, Body.of("{}"), StoreVersion(era = 0, 1))

    /** Returns a page with rows of [keys]. */
    fun page(vararg keys: String, next: String? = null, version: Long = 7) = TableReply.Page(
        keys.map(::row).toPersistentList(),
        StoreVersion(era = 0, version),
        next,
    )

    /** Returns the removal of the row with [key]. */
    fun removed(key: String, version: Long = 9) =
        changes(listOf(StoreRow(key, null, StoreVersion(era = 0, version))), version)

    /** Returns the change of the row with [key]. */
    fun changed(key: String, version: Long) =
        changes(listOf(StoreRow(key, Body.of("{}"), StoreVersion(era = 0, version))), version)

    /** Returns the return of the row with [key]. */
    fun added(key: String) = changes(listOf(row(key)), version = 10)

    /** Returns an answer without a change. */
    fun unchanged(version: Long) = changes(emptyList(), version)

    private fun changes(rows: List<StoreRow>, version: Long) =
        TableReply.Changes(rows.toPersistentList(), StoreVersion(era = 0, version))

    /** Returns the edition of a table of upstreams that last changed at [version]. */
    fun edition(version: Long) =
        TableEdition(configuration = 0, changedAt = StoreVersion(era = 0, version))

    /** The reply to the call that is pending when the event is handled, see [step]. */
    fun replied(reply: TableReply, table: StoreTable = StoreTable.UPSTREAMS) =
        DiscoveryEvent.Replied(table, call = 0, reply)

    /** Returns the state after the start. */
    fun DiscoveryFilter.started(): DiscoveryState =
        step(DiscoveryState(), DiscoveryEvent.Start, Duration.ZERO).state

    /** Handles [event]; a reply is to the call that is pending. */
    fun DiscoveryFilter.handle(state: DiscoveryState, event: DiscoveryEvent, now: Duration) =
        when (event) {
            is DiscoveryEvent.Replied -> {
                val call = state.feeds.getValue(event.table).call!!.number
                step(state, event.copy(call = call), now)
            }
            else -> step(state, event, now)
        }

    /** Answers all pending calls at [now] without a change, so that none of them is overdue. */
    fun DiscoveryFilter.quiet(state: DiscoveryState, now: Duration): DiscoveryState =
        StoreTable.entries.fold(state) { next, table ->
            val reply = next.feeds.getValue(table).version?.let { unchanged(it.number) } ?: page()
            handle(next, replied(reply, table), now).state
        }

    /** Returns a short text for [action]. */
    fun describe(action: DiscoveryAction): String = when (action) {
        is DiscoveryAction.Read -> "read from ${action.from}"
        is DiscoveryAction.Follow -> "follow ${action.version.number}"
        is DiscoveryAction.Publish ->
            "publish " + action.rows.map { it.key }.sorted().joinToString("")
        is DiscoveryAction.AskPeer -> "ask ${action.address}"
        is DiscoveryAction.StoreStatusChanged -> if (action.isAvailable) "back" else "lost"
        is DiscoveryAction.GiveUp -> "give up"
        is DiscoveryAction.EraChanged -> "era ${action.known.era} to ${action.version.era}"
        is DiscoveryAction.VersionDisproved -> "disproved ${action.version?.number}"
    }

    /** Checks what the filter does with the last event of [case]. */
    fun check(case: DiscoveryCase) {
        val filter = DiscoveryFilter(rows = TestRows)
        var now = Duration.ZERO
        val state = case.before.fold(filter.started()) { state, reply ->
            now += 0.1.seconds
            filter.handle(state, replied(reply), now).state
        }
        now += case.wait
        val current = if (case.last == DiscoveryEvent.Tick) filter.quiet(state, now) else state
        filter.handle(current, case.last, now).actions.map(::describe) shouldBe case.actions
    }
}
