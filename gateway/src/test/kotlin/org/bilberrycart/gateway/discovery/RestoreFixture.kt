package org.bilberrycart.gateway.discovery

import io.kotest.engine.names.WithDataTestName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.gateway.model.Body

/** Something that happens to a node that follows a table, and when. */
internal sealed class Happening {
    abstract val at: Duration

    /** The store answers the call that is pending. */
    data class Answer(override val at: Duration, val reply: TableReply) : Happening()

    /** A peer tells its edition of the table. */
    data class Report(override val at: Duration, val edition: TableEdition) : Happening()

    /** A peer sends its copy of the table. */
    data class Copy(override val at: Duration, val page: TableReply.Page) : Happening()

    /** The timer fires. */
    data class Tick(override val at: Duration) : Happening()
}

/**
 * What a node publishes, asks for or follows at last, of [table], after [happenings].
 *
 * @property published the rows published last, as "KEY VALUE".
 * @property next the last call to the store or request to a peer.
 */
internal data class RestoreCase(
    val name: String,
    val table: StoreTable,
    val happenings: List<Happening>,
    val published: List<String>,
    val next: String? = null,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

/** Builds tables, answers and peers of a store that is restored, and plays them. */
internal object RestoreFixture {
    val FIRST = 1.seconds
    val SECOND = 2.seconds
    val THIRD = 3.seconds
    val FOURTH = 4.seconds

    private fun row(text: String, version: StoreVersion): StoreRow {
        val (key, value) = text.split(' ', limit = 2)
        return StoreRow(key, Body.of(value).takeIf { value != "removed" }, version)
    }

    private fun rows(version: StoreVersion, texts: Array<out String>) =
        texts.map { row(it, version) }.toPersistentList()

    /** A whole table as of the version [number] of [era]. */
    fun page(era: Long, number: Long, vararg rows: String, next: String? = null) =
        StoreVersion(era, number).let { TableReply.Page(rows(it, rows), it, next) }

    /** Changes up to the version [number] of [era]. */
    fun changes(era: Long, number: Long, vararg rows: String) =
        StoreVersion(era, number).let { TableReply.Changes(rows(it, rows), it) }

    fun answer(at: Duration, reply: TableReply) = Happening.Answer(at, reply)

    fun edition(configuration: Long, era: Long, number: Long) =
        TableEdition(configuration, StoreVersion(era, number))

    val noRows = emptyArray<String>()

    /** Returns a short text for [action] if it calls the store or a peer about [table], or null. */
    private fun describe(action: DiscoveryAction, table: StoreTable): String? = when (action) {
        is DiscoveryAction.Read -> "read from ${action.from}".takeIf { action.table == table }
        is DiscoveryAction.Follow -> "follow ${action.version}".takeIf { action.table == table }
        is DiscoveryAction.AskPeer -> "ask a peer".takeIf { action.table == table }
        else -> null
    }

    /** Returns the rows that a node publishes last and its last call, see [RestoreCase]. */
    fun play(case: RestoreCase): Pair<List<String>, String?> {
        val filter = DiscoveryFilter(rows = TestRows)
        val start = filter.step(DiscoveryState(), DiscoveryEvent.Start, Duration.ZERO)
        var state = start.state
        val actions = case.happenings.flatMap { happening ->
            val call = state.feeds.getValue(case.table).call!!.number
            val event = when (happening) {
                is Happening.Answer -> DiscoveryEvent.Replied(case.table, call, happening.reply)
                is Happening.Report -> DiscoveryEvent.PeerReported(
                    case.table,
                    "p",
                    happening.edition,
                )
                is Happening.Copy -> DiscoveryEvent.PeerTable(case.table, happening.page)
                is Happening.Tick -> DiscoveryEvent.Tick
            }
            val step = filter.step(state, event, happening.at)
            state = step.state
            step.actions
        }
        val published = actions.filterIsInstance<DiscoveryAction.Publish>()
            .last { it.table == case.table }
        return published.rows.map { "${it.key} ${it.value?.text()}" }.sorted() to
            actions.mapNotNull { describe(it, case.table) }.last()
    }
}
