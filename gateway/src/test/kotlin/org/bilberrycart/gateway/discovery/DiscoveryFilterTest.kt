package org.bilberrycart.gateway.discovery

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.gateway.model.Body

private data class DiscoveryCase(
    val name: String,
    val before: List<TableReply>,
    val wait: Duration = 1.seconds,
    val last: DiscoveryEvent,
    val actions: List<String>,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private fun row(key: String) = StoreRow(key, Body.of("{}"), 1)

private fun page(vararg keys: String, next: String? = null, version: Long = 7) =
    TableReply.Page(keys.map(::row).toPersistentList(), version, next)

private fun removed(key: String, version: Long = 9) =
    TableReply.Changes(listOf(StoreRow(key, null, version)).toPersistentList(), version)

private fun added(key: String) =
    TableReply.Changes(listOf(row(key)).toPersistentList(), version = 10)

private fun replied(reply: TableReply) = DiscoveryEvent.Replied(StoreTable.UPSTREAMS, reply)

class DiscoveryFilterTest :
    FunSpec({
        fun describe(action: DiscoveryAction): String = when (action) {
            is DiscoveryAction.Read -> "read from ${action.from}"
            is DiscoveryAction.Follow -> "follow ${action.version}"
            is DiscoveryAction.Publish ->
                "publish " + action.rows.map { it.key }.sorted().joinToString("")
            is DiscoveryAction.AskPeer -> "ask ${action.address}"
            is DiscoveryAction.StoreStatusChanged -> if (action.isAvailable) "back" else "lost"
        }

        fun check(case: DiscoveryCase) {
            val filter = DiscoveryFilter()
            var now = Duration.ZERO
            val state = case.before.fold(DiscoveryState()) { state, reply ->
                now += 0.1.seconds
                filter.step(state, replied(reply), now).state
            }
            filter.step(state, case.last, now + case.wait).actions.map(::describe) shouldBe
                case.actions
        }

        context("the delay before following upstreams grows with the number of peers") {
            withData(
                nameFn = { (table, peers, followDelay) -> "$table, $peers peers: $followDelay" },
                Triple(StoreTable.UPSTREAMS, 0, 0.milliseconds),
                Triple(StoreTable.UPSTREAMS, 3, 75.milliseconds),
                Triple(StoreTable.UPSTREAMS, 10, 500.milliseconds),
                Triple(StoreTable.UPSTREAMS, 330, 750.milliseconds),
                Triple(StoreTable.CONFIGURATION, 330, 0.milliseconds),
            ) { (table, peers, followDelay) ->
                val filter = DiscoveryFilter()
                val state = filter.step(
                    DiscoveryState(),
                    DiscoveryEvent.PeerCountChanged(peers),
                    1.seconds,
                )
                val reply = DiscoveryEvent.Replied(table, page("a"))
                filter.step(state.state, reply, 1.seconds).actions
                    .filterIsInstance<DiscoveryAction.Follow>().map { it.delay } shouldBe
                    listOf(followDelay)
            }
        }

        context("a table is read once and then followed") {
            withData(
                DiscoveryCase(
                    "the last page is published and followed",
                    emptyList(),
                    last = replied(page("a", "b")),
                    actions = listOf("publish ab", "follow 7"),
                ),
                DiscoveryCase(
                    "the rows of all pages are published together",
                    listOf(page("a", next = "a0")),
                    last = replied(page("b")),
                    actions = listOf("publish ab", "follow 7"),
                ),
                // Guards against a change between two pages of a table that is missed (DRAIN).
                DiscoveryCase(
                    "a table of several pages is followed from the version of the first",
                    listOf(page("a", next = "a0"), page("b", next = "b0", version = 8)),
                    last = replied(page("c", version = 9)),
                    actions = listOf("publish abc", "follow 7"),
                ),
                DiscoveryCase(
                    "also when it is read again after its history was lost",
                    listOf(page("a"), TableReply.HistoryLost, page("a", next = "a0", version = 20)),
                    last = replied(page("b", version = 22)),
                    actions = listOf("publish ab", "follow 20"),
                ),
                DiscoveryCase(
                    "pages from before a failed call are not followed",
                    listOf(page("a", next = "a0"), TableReply.Failed("503")),
                    last = replied(page("b", version = 9)),
                    actions = listOf("publish b", "follow 9", "back"),
                ),
                DiscoveryCase(
                    "a change is published",
                    listOf(page("a", "b")),
                    last = replied(removed("a")),
                    actions = listOf("publish b", "follow 9"),
                ),
                DiscoveryCase(
                    "a table whose history is lost is read again",
                    listOf(page("a")),
                    last = replied(TableReply.HistoryLost),
                    actions = listOf("read from null"),
                ),
                DiscoveryCase(
                    "a failed call is retried",
                    listOf(page("a")),
                    last = replied(TableReply.Failed("503")),
                    actions = listOf("follow 7", "lost"),
                ),
            ) { check(it) }
        }

        test("a table is read again if a peer's copy is newer than its first page") {
            val filter = DiscoveryFilter()
            val copy = DiscoveryEvent.PeerTable(StoreTable.UPSTREAMS, page("b", version = 8))
            val events = listOf(replied(page("a", next = "a0")), copy)
            val state = events.fold(DiscoveryState()) { state, event ->
                filter.step(state, event, 1.seconds).state
            }
            filter.step(state, replied(page("b", version = 9)), 1.seconds).actions
                .map(::describe) shouldBe listOf("read from null")
        }

        test("a table of several pages is followed without a delay") {
            val filter = DiscoveryFilter()
            val events =
                listOf(DiscoveryEvent.PeerCountChanged(330), replied(page("a", next = "b")))
            val state = events.fold(DiscoveryState()) { state, event ->
                filter.step(state, event, 1.seconds).state
            }
            filter.step(state, replied(page("b")), 1.seconds).actions
                .filterIsInstance<DiscoveryAction.Follow>().map { it.delay } shouldBe
                listOf(0.milliseconds)
        }

        context("a node that can't read the store") {
            val storeFailed = listOf(page("a"), TableReply.Failed("503"))
            val newerVersion = DiscoveryEvent.PeerVersion(
                StoreTable.UPSTREAMS,
                "10.0.0.2:1",
                version = 9,
            )
            withData(
                DiscoveryCase(
                    "asks a peer with a newer version",
                    storeFailed,
                    last = newerVersion,
                    actions = listOf("ask 10.0.0.2:1"),
                ),
                DiscoveryCase(
                    "does not ask a peer with the same version",
                    storeFailed,
                    last = newerVersion.copy(version = 7),
                    actions = emptyList(),
                ),
                DiscoveryCase(
                    "does not ask a peer while the store answers",
                    listOf(page("a")),
                    last = newerVersion,
                    actions = emptyList(),
                ),
                DiscoveryCase(
                    "publishes the copy of a peer without another call to the store",
                    storeFailed,
                    last = DiscoveryEvent.PeerTable(
                        StoreTable.UPSTREAMS,
                        page("b").copy(version = 9),
                    ),
                    actions = listOf("publish b"),
                ),
                DiscoveryCase(
                    "ignores a copy that is older than its own",
                    storeFailed,
                    last = DiscoveryEvent.PeerTable(
                        StoreTable.UPSTREAMS,
                        page("b").copy(version = 6),
                    ),
                    actions = emptyList(),
                ),
            ) { check(it) }
        }

        context("rows that disappear around a failure of the store") {
            val storeFailed = listOf(page("a", "b"), TableReply.Failed("reset"))
            withData(
                DiscoveryCase(
                    "are retained when the store has just recovered",
                    storeFailed,
                    last = replied(removed("a")),
                    actions = listOf("publish ab", "follow 9", "back"),
                ),
                DiscoveryCase(
                    "are removed when they do not return in time",
                    storeFailed + removed("a"),
                    wait = 2.5.seconds,
                    last = DiscoveryEvent.Tick,
                    actions = listOf("publish b"),
                ),
                DiscoveryCase(
                    "are published as before when they return in time",
                    storeFailed + removed("a") + added("a"),
                    wait = 2.5.seconds,
                    last = DiscoveryEvent.Tick,
                    actions = emptyList(),
                ),
                DiscoveryCase(
                    "are removed at once when the store recovered long ago",
                    storeFailed + removed("a"),
                    wait = 3.seconds,
                    last = replied(removed("b", version = 11)),
                    actions = listOf("publish a", "follow 11"),
                ),
            ) { check(it) }
        }
    })
