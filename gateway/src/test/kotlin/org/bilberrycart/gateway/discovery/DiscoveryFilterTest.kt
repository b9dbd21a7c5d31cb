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
    val before: List<StoreReply>,
    val wait: Duration = 1.seconds,
    val last: DiscoveryEvent,
    val actions: List<String>,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private fun row(key: String) = StoreRow(key, Body.of("{}"), 1)

private fun page(vararg keys: String, next: String? = null) =
    StoreReply.Page(keys.map(::row).toPersistentList(), 7, next)

private fun gone(key: String, version: Long = 9) =
    StoreReply.Changes(listOf(StoreRow(key, null, version)).toPersistentList(), version)

private fun back(key: String) =
    StoreReply.Changes(listOf(row(key)).toPersistentList(), version = 10)

private fun replied(reply: StoreReply) = DiscoveryEvent.Replied(StoreTable.UPSTREAMS, reply)

class DiscoveryFilterTest :
    FunSpec({
        fun tell(action: DiscoveryAction): String = when (action) {
            is DiscoveryAction.Read -> "read from ${action.from}"
            is DiscoveryAction.Follow -> "follow ${action.version}"
            is DiscoveryAction.Publish ->
                "publish " + action.rows.map { it.key }.sorted().joinToString("")
            is DiscoveryAction.AskPeer -> "ask ${action.address}"
            is DiscoveryAction.Store -> if (action.isBack) "back" else "lost"
        }

        fun check(case: DiscoveryCase) {
            val filter = DiscoveryFilter()
            var now = Duration.ZERO
            val state = case.before.fold(DiscoveryState()) { state, reply ->
                now += 0.1.seconds
                filter.step(state, replied(reply), now).state
            }
            filter.step(state, case.last, now + case.wait).actions.map(::tell) shouldBe case.actions
        }

        context("changes are taken together for longer the more nodes read") {
            withData(
                nameFn = { (table, peers, pause) -> "$table, $peers peers: $pause" },
                Triple(StoreTable.UPSTREAMS, 0, 0.milliseconds),
                Triple(StoreTable.UPSTREAMS, 3, 75.milliseconds),
                Triple(StoreTable.UPSTREAMS, 330, 750.milliseconds),
                Triple(StoreTable.CONFIGURATION, 330, 0.milliseconds),
            ) { (table, peers, pause) ->
                val filter = DiscoveryFilter()
                val state = filter.step(DiscoveryState(), DiscoveryEvent.Peers(peers), 1.seconds)
                val reply = DiscoveryEvent.Replied(table, page("a"))
                filter.step(state.state, reply, 1.seconds).actions
                    .filterIsInstance<DiscoveryAction.Follow>().map { it.delay } shouldBe
                    listOf(pause)
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
                    "pages are joined",
                    listOf(page("a", next = "a0")),
                    last = replied(page("b")),
                    actions = listOf("publish ab", "follow 7"),
                ),
                DiscoveryCase(
                    "a change is published",
                    listOf(page("a", "b")),
                    last = replied(gone("a")),
                    actions = listOf("publish b", "follow 9"),
                ),
                DiscoveryCase(
                    "lost history is read anew",
                    listOf(page("a")),
                    last = replied(StoreReply.HistoryLost),
                    actions = listOf("read from null"),
                ),
                DiscoveryCase(
                    "a failure is tried again",
                    listOf(page("a")),
                    last = replied(StoreReply.Failed("503")),
                    actions = listOf("follow 7", "lost"),
                ),
            ) { check(it) }
        }

        context("a node that can't read the store") {
            val away = listOf(page("a"), StoreReply.Failed("503"))
            val knows = DiscoveryEvent.PeerKnows(StoreTable.UPSTREAMS, "10.0.0.2:1", version = 9)
            withData(
                DiscoveryCase(
                    "asks a peer that knows more",
                    away,
                    last = knows,
                    actions = listOf("ask 10.0.0.2:1"),
                ),
                DiscoveryCase(
                    "asks no peer that knows the same",
                    away,
                    last = knows.copy(version = 7),
                    actions = emptyList(),
                ),
                DiscoveryCase(
                    "asks no peer while the store answers",
                    listOf(page("a")),
                    last = knows,
                    actions = emptyList(),
                ),
                DiscoveryCase(
                    "takes the copy of a peer and goes on asking the store",
                    away,
                    last = DiscoveryEvent.PeerSent(
                        StoreTable.UPSTREAMS,
                        page("b").copy(version = 9),
                    ),
                    actions = listOf("publish b"),
                ),
                DiscoveryCase(
                    "takes no copy that is older than its own",
                    away,
                    last = DiscoveryEvent.PeerSent(
                        StoreTable.UPSTREAMS,
                        page("b").copy(version = 6),
                    ),
                    actions = emptyList(),
                ),
            ) { check(it) }
        }

        context("rows that vanish while the store is away") {
            val away = listOf(page("a", "b"), StoreReply.Failed("reset"))
            withData(
                DiscoveryCase(
                    "still count when it has just returned",
                    away,
                    last = replied(gone("a")),
                    actions = listOf("publish ab", "follow 9", "back"),
                ),
                DiscoveryCase(
                    "are gone when they do not come back in time",
                    away + gone("a"),
                    wait = 2.5.seconds,
                    last = DiscoveryEvent.Tick,
                    actions = listOf("publish b"),
                ),
                DiscoveryCase(
                    "count as usual when they are back",
                    away + gone("a") + back("a"),
                    wait = 2.5.seconds,
                    last = DiscoveryEvent.Tick,
                    actions = emptyList(),
                ),
                DiscoveryCase(
                    "vanish at once when the store has been back for long",
                    away + gone("a"),
                    wait = 3.seconds,
                    last = replied(gone("b", version = 11)),
                    actions = listOf("publish a", "follow 11"),
                ),
            ) { check(it) }
        }
    })
