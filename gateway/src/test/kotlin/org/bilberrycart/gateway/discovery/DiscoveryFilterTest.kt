package org.bilberrycart.gateway.discovery

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.gateway.discovery.DiscoveryFixture.check
import org.bilberrycart.gateway.discovery.DiscoveryFixture.describe
import org.bilberrycart.gateway.discovery.DiscoveryFixture.edition
import org.bilberrycart.gateway.discovery.DiscoveryFixture.handle
import org.bilberrycart.gateway.discovery.DiscoveryFixture.page
import org.bilberrycart.gateway.discovery.DiscoveryFixture.removed
import org.bilberrycart.gateway.discovery.DiscoveryFixture.replied
import org.bilberrycart.gateway.discovery.DiscoveryFixture.started

class DiscoveryFilterTest :
    FunSpec({
        context("the delay before following upstreams grows with the number of peers") {
            withData(
                nameFn = { (table, peers, followDelay) -> "$table, $peers peers: $followDelay" },
                Triple(StoreTable.UPSTREAMS, 0, 0.milliseconds),
                Triple(StoreTable.UPSTREAMS, 3, 75.milliseconds),
                Triple(StoreTable.UPSTREAMS, 10, 500.milliseconds),
                Triple(StoreTable.UPSTREAMS, 330, 750.milliseconds),
                Triple(StoreTable.CONFIGURATION, 330, 0.milliseconds),
            ) { (table, peers, followDelay) ->
                val filter = DiscoveryFilter(rows = TestRows)
                val peerCount = DiscoveryEvent.PeerCountChanged(peers)
                val state = filter.step(filter.started(), peerCount, 1.seconds).state
                filter.handle(state, replied(page("a"), table), 1.seconds).actions
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
            val filter = DiscoveryFilter(rows = TestRows)
            val copy = DiscoveryEvent.PeerTable(StoreTable.UPSTREAMS, page("b", version = 8))
            val events = listOf(replied(page("a", next = "a0")), copy)
            val state = events.fold(filter.started()) { state, event ->
                filter.handle(state, event, 1.seconds).state
            }
            filter.handle(state, replied(page("b", version = 9)), 1.seconds).actions
                .map(::describe) shouldBe listOf("read from null")
        }

        test("a table of several pages is followed without a delay") {
            val filter = DiscoveryFilter(rows = TestRows)
            val events =
                listOf(DiscoveryEvent.PeerCountChanged(330), replied(page("a", next = "b")))
            val state = events.fold(filter.started()) { state, event ->
                filter.handle(state, event, 1.seconds).state
            }
            filter.handle(state, replied(page("b")), 1.seconds).actions
                .filterIsInstance<DiscoveryAction.Follow>().map { it.delay } shouldBe
                listOf(0.milliseconds)
        }

        context("a node that can't read the store") {
            val storeFailed = listOf(page("a"), TableReply.Failed("503"))
            val newerVersion = DiscoveryEvent.PeerReported(
                StoreTable.UPSTREAMS,
                "10.0.0.2:1",
                edition(9),
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
                    last = newerVersion.copy(edition = edition(7)),
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
                        page("b", version = 9),
                    ),
                    actions = listOf("publish b"),
                ),
                DiscoveryCase(
                    "ignores a copy that is older than its own",
                    storeFailed,
                    last = DiscoveryEvent.PeerTable(
                        StoreTable.UPSTREAMS,
                        page("b", version = 6),
                    ),
                    actions = emptyList(),
                ),
            ) { check(it) }
        }
    })
