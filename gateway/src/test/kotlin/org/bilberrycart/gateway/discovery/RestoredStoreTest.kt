package org.bilberrycart.gateway.discovery

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.gateway.model.Body

/** Something that happens to a node that follows [table], and when. */
private sealed class Happening {
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
private data class RestoreCase(
    val name: String,
    val table: StoreTable,
    val happenings: List<Happening>,
    val published: List<String>,
    val next: String? = null,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private val FIRST = 1.seconds
private val SECOND = 2.seconds
private val THIRD = 3.seconds
private val FOURTH = 4.seconds

private fun row(text: String, version: StoreVersion): StoreRow {
    val (key, value) = text.split(' ', limit = 2)
    return StoreRow(key, Body.of(value).takeIf { value != "removed" }, version)
}

private fun rows(version: StoreVersion, texts: Array<out String>) =
    texts.map { row(it, version) }.toPersistentList()

/** A whole table as of the version [number] of [era]. */
private fun page(era: Long, number: Long, vararg rows: String, next: String? = null) =
    StoreVersion(era, number).let { TableReply.Page(rows(it, rows), it, next) }

/** Changes up to the version [number] of [era]. */
private fun changes(era: Long, number: Long, vararg rows: String) =
    StoreVersion(era, number).let { TableReply.Changes(rows(it, rows), it) }

private fun answer(at: Duration, reply: TableReply) = Happening.Answer(at, reply)

private fun edition(configuration: Long, era: Long, number: Long) =
    TableEdition(configuration, StoreVersion(era, number))

private val noRows = emptyArray<String>()

/** Returns a short text for [action] if it calls the store or a peer about [table], or null. */
private fun describe(action: DiscoveryAction, table: StoreTable): String? = when (action) {
    is DiscoveryAction.Read -> "read from ${action.from}".takeIf { action.table == table }
    is DiscoveryAction.Follow -> "follow ${action.version}".takeIf { action.table == table }
    is DiscoveryAction.AskPeer -> "ask a peer".takeIf { action.table == table }
    else -> null
}

/** Returns the rows that a node publishes last and its last call, see [RestoreCase]. */

private fun play(case: RestoreCase): Pair<List<String>, String?> {
    val filter = DiscoveryFilter(rows = TestRows)
    val start = filter.step(DiscoveryState(), DiscoveryEvent.Start, Duration.ZERO)
    var state = start.state
    val actions = case.happenings.flatMap { happening ->
        val call = state.feeds.getValue(case.table).call!!.number
        val event = when (happening) {
            is Happening.Answer -> DiscoveryEvent.Replied(case.table, call, happening.reply)
            is Happening.Report -> DiscoveryEvent.PeerReported(case.table, "p", happening.edition)
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

class RestoredStoreTest :
    FunSpec({
        val configuration = page(era = 1, number = 32, "config configuration 13")
        val upstreams = page(era = 1, number = 32, "a ready 100", "b ready 100")
        val aLeaves = changes(era = 1, number = 33, "a leaving 100")
        val aIsGone = changes(era = 1, number = 34, "a removed")
        val newEra = changes(era = 2, number = 40, rows = noRows)

        // Guards against a change that a restored store gives a version known from before (CONFIG).
        context("a store that comes back from an older copy") {
            withData(
                RestoreCase(
                    "is read as a whole if its versions have passed the known one",
                    StoreTable.CONFIGURATION,
                    listOf(answer(FIRST, configuration), answer(SECOND, newEra)),
                    published = listOf("config configuration 13"),
                    next = "read from null",
                ),
                RestoreCase(
                    "is read as a whole if its version is the known one",
                    StoreTable.CONFIGURATION,
                    listOf(
                        answer(FIRST, configuration),
                        answer(SECOND, changes(era = 2, number = 32, rows = noRows)),
                    ),
                    published = listOf("config configuration 13"),
                    next = "read from null",
                ),
                RestoreCase(
                    "is read as a whole if its version is below the known one",
                    StoreTable.CONFIGURATION,
                    listOf(
                        answer(FIRST, configuration),
                        answer(SECOND, changes(era = 2, number = 31, rows = noRows)),
                    ),
                    published = listOf("config configuration 13"),
                    next = "read from null",
                ),
                RestoreCase(
                    "is followed from its own version",
                    StoreTable.CONFIGURATION,
                    listOf(
                        answer(FIRST, configuration),
                        answer(SECOND, TableReply.HistoryLost),
                        answer(SECOND, page(era = 2, number = 31, "config configuration 13")),
                    ),
                    published = listOf("config configuration 13"),
                    next = "follow 2/31",
                ),
                RestoreCase(
                    "has its change published, whose version was known before",
                    StoreTable.CONFIGURATION,
                    listOf(
                        answer(FIRST, configuration),
                        answer(SECOND, TableReply.HistoryLost),
                        answer(SECOND, page(era = 2, number = 31, "config configuration 13")),
                        answer(THIRD, changes(era = 2, number = 32, "config configuration 16")),
                    ),
                    published = listOf("config configuration 16"),
                    next = "follow 2/32",
                ),
                RestoreCase(
                    "is read from the start if it is restored between two pages",
                    StoreTable.UPSTREAMS,
                    listOf(
                        answer(FIRST, upstreams),
                        answer(SECOND, TableReply.HistoryLost),
                        answer(SECOND, page(era = 2, number = 31, "a ready 100", next = "b")),
                        answer(THIRD, page(era = 3, number = 30, "b ready 100")),
                    ),
                    published = listOf("a ready 100", "b ready 100"),
                    next = "read from null",
                ),
                RestoreCase(
                    "and again from an older one is read as a whole again",
                    StoreTable.CONFIGURATION,
                    listOf(
                        answer(FIRST, configuration),
                        answer(SECOND, page(era = 2, number = 31, "config configuration 13")),
                        answer(THIRD, changes(era = 3, number = 31, rows = noRows)),
                    ),
                    published = listOf("config configuration 13"),
                    next = "read from null",
                ),
                RestoreCase(
                    "is not taken back by a late answer of the former era",
                    StoreTable.CONFIGURATION,
                    listOf(
                        answer(FIRST, configuration),
                        Happening.Copy(
                            SECOND,
                            page(era = 2, number = 31, "config configuration 16"),
                        ),
                        answer(THIRD, changes(era = 1, number = 33, "config configuration 13")),
                    ),
                    published = listOf("config configuration 16"),
                    next = "follow 2/31",
                ),
            ) { case ->
                val (published, next) = play(case)
                published shouldBe case.published
                next shouldBe case.next
            }
        }

        // Guards against a configuration that goes back with the store, or is kept back (CONFIG).
        context("the newest configuration that is known") {
            withData(
                RestoreCase(
                    "is kept when a restored store holds an older one",
                    StoreTable.CONFIGURATION,
                    listOf(
                        answer(FIRST, configuration),
                        answer(SECOND, page(era = 2, number = 30, "config configuration 6")),
                    ),
                    published = listOf("config configuration 13"),
                ),
                RestoreCase(
                    "is kept when the operator writes older ones again",
                    StoreTable.CONFIGURATION,
                    listOf(
                        answer(FIRST, configuration),
                        answer(SECOND, page(era = 2, number = 30, "config configuration 6")),
                        answer(THIRD, changes(era = 2, number = 31, "config configuration 10")),
                    ),
                    published = listOf("config configuration 13"),
                ),
                RestoreCase(
                    "is taken from a peer of the former era by a node that has just started",
                    StoreTable.CONFIGURATION,
                    listOf(
                        answer(FIRST, page(era = 2, number = 30, "config configuration 6")),
                        Happening.Copy(SECOND, configuration),
                    ),
                    published = listOf("config configuration 13"),
                ),
                RestoreCase(
                    "is asked for at such a peer",
                    StoreTable.CONFIGURATION,
                    listOf(
                        answer(FIRST, page(era = 2, number = 30, "config configuration 6")),
                        Happening.Report(FIRST, edition(13, era = 1, number = 32)),
                        Happening.Tick(FIRST + 0.2.seconds),
                    ),
                    published = listOf("config configuration 6"),
                    next = "ask a peer",
                ),
                RestoreCase(
                    "is not given up for a peer's older one of a later era",
                    StoreTable.CONFIGURATION,
                    listOf(
                        answer(FIRST, configuration),
                        Happening.Copy(
                            SECOND,
                            page(era = 2, number = 30, "config configuration 6"),
                        ),
                    ),
                    published = listOf("config configuration 13"),
                ),
                RestoreCase(
                    "is followed on in the new era after a copy of a peer of the former one",
                    StoreTable.CONFIGURATION,
                    listOf(
                        answer(FIRST, page(era = 2, number = 30, "config configuration 6")),
                        Happening.Copy(SECOND, configuration),
                        answer(THIRD, changes(era = 2, number = 31, "config configuration 16")),
                    ),
                    published = listOf("config configuration 16"),
                    next = "follow 2/31",
                ),
            ) { case ->
                val (published, next) = play(case)
                published shouldBe case.published
                if (case.next != null) next shouldBe case.next
            }
        }

        // Guards against calls to upstreams that are known to leave or to have left (DRAIN).
        context("entries of upstreams that come back with an older copy") {
            withData(
                RestoreCase(
                    "are not ready if their process is known to leave",
                    StoreTable.UPSTREAMS,
                    listOf(
                        answer(FIRST, upstreams),
                        answer(SECOND, aLeaves),
                        answer(THIRD, page(era = 2, number = 32, "a ready 100", "b ready 100")),
                    ),
                    published = listOf("a leaving 100", "b ready 100"),
                ),
                RestoreCase(
                    "are not those of a process that another one has followed",
                    StoreTable.UPSTREAMS,
                    listOf(
                        answer(FIRST, upstreams),
                        answer(SECOND, changes(era = 1, number = 33, "a ready 200")),
                        answer(THIRD, page(era = 2, number = 32, "a ready 100", "b ready 100")),
                    ),
                    published = listOf("a ready 200", "b ready 100"),
                ),
                RestoreCase(
                    "are ready if another process follows the one that is known to leave",
                    StoreTable.UPSTREAMS,
                    listOf(
                        answer(FIRST, upstreams),
                        answer(SECOND, aLeaves),
                        answer(THIRD, page(era = 2, number = 32, "a ready 300", "b ready 100")),
                    ),
                    published = listOf("a ready 300", "b ready 100"),
                ),
                RestoreCase(
                    "are withheld if their process is known to have left",
                    StoreTable.UPSTREAMS,
                    listOf(
                        answer(FIRST, upstreams),
                        answer(SECOND, aIsGone),
                        answer(THIRD, page(era = 2, number = 32, "a ready 100", "b ready 100")),
                    ),
                    published = listOf("b ready 100"),
                ),
                RestoreCase(
                    "are withheld also when the store drops them",
                    StoreTable.UPSTREAMS,
                    listOf(
                        answer(FIRST, upstreams),
                        answer(SECOND, aIsGone),
                        answer(THIRD, page(era = 2, number = 32, "a ready 100", "b ready 100")),
                        answer(FOURTH, changes(era = 2, number = 33, "a removed")),
                    ),
                    published = listOf("b ready 100"),
                ),
                RestoreCase(
                    "are published when their process writes them again",
                    StoreTable.UPSTREAMS,
                    listOf(
                        answer(FIRST, upstreams),
                        answer(SECOND, aIsGone),
                        answer(THIRD, page(era = 2, number = 32, "a ready 100", "b ready 100")),
                        answer(FOURTH, changes(era = 2, number = 33, "a ready 100")),
                    ),
                    published = listOf("a ready 100", "b ready 100"),
                ),
                RestoreCase(
                    "are published when the store has kept them for long",
                    StoreTable.UPSTREAMS,
                    listOf(
                        answer(FIRST, upstreams),
                        answer(SECOND, aIsGone),
                        answer(THIRD, page(era = 2, number = 32, "a ready 100", "b ready 100")),
                        answer(8.9.seconds, changes(era = 2, number = 33, rows = noRows)),
                        Happening.Tick(9.seconds),
                    ),
                    published = listOf("a ready 100", "b ready 100"),
                ),
                RestoreCase(
                    "are published if another process has the id",
                    StoreTable.UPSTREAMS,
                    listOf(
                        answer(FIRST, upstreams),
                        answer(SECOND, aIsGone),
                        answer(THIRD, page(era = 2, number = 32, "a ready 300", "b ready 100")),
                    ),
                    published = listOf("a ready 300", "b ready 100"),
                ),
                RestoreCase(
                    "are missed for a while if they are newer than the copy",
                    StoreTable.UPSTREAMS,
                    listOf(
                        answer(FIRST, upstreams),
                        answer(SECOND, page(era = 2, number = 20, "a ready 100")),
                    ),
                    published = listOf("a ready 100", "b ready 100"),
                ),
                RestoreCase(
                    "are taken as gone when they don't return",
                    StoreTable.UPSTREAMS,
                    listOf(
                        answer(FIRST, upstreams),
                        answer(SECOND, page(era = 2, number = 20, "a ready 100")),
                        answer(4.1.seconds, changes(era = 2, number = 21, rows = noRows)),
                        Happening.Tick(4.3.seconds),
                    ),
                    published = listOf("a ready 100"),
                ),
            ) { case -> play(case).first shouldBe case.published }
        }
    })
