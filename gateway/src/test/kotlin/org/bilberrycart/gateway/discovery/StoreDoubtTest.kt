package org.bilberrycart.gateway.discovery

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.gateway.discovery.DiscoveryFixture.added
import org.bilberrycart.gateway.discovery.DiscoveryFixture.changed
import org.bilberrycart.gateway.discovery.DiscoveryFixture.check
import org.bilberrycart.gateway.discovery.DiscoveryFixture.edition
import org.bilberrycart.gateway.discovery.DiscoveryFixture.handle
import org.bilberrycart.gateway.discovery.DiscoveryFixture.page
import org.bilberrycart.gateway.discovery.DiscoveryFixture.removed
import org.bilberrycart.gateway.discovery.DiscoveryFixture.replied
import org.bilberrycart.gateway.discovery.DiscoveryFixture.started

/** A peer that knows version 9 of [table], [delay] before the tick. */
private data class PeerLeadCase(
    val name: String,
    val delay: Duration,
    val table: StoreTable = StoreTable.CONFIGURATION,
    val storeVersion: Long? = null,
    val isAsked: Boolean = true,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

class StoreDoubtTest :
    FunSpec({
        // Guards against each change that is ignored for good after one version too high (CONFIG).
        context("a store that answers with versions below the known one") {
            val tooHigh = listOf(page("a"), changed("b", version = 1_000))
            val older = changed("c", version = 8)
            // One answer each 100 ms, for the time after which what is known is doubted.
            val olderForLong = List(61) { older }
            withData(
                DiscoveryCase(
                    "is asked again",
                    tooHigh,
                    last = replied(older),
                    actions = listOf("follow 1000"),
                ),
                DiscoveryCase(
                    "is not believed while it may only be behind",
                    tooHigh + olderForLong.take(30),
                    last = replied(older),
                    actions = listOf("follow 1000"),
                ),
                DiscoveryCase(
                    "is believed when it goes on so",
                    tooHigh + olderForLong.dropLast(1),
                    last = replied(older),
                    wait = 0.2.seconds,
                    actions = listOf("read from null", "disproved 1000"),
                ),
                DiscoveryCase(
                    "and its table is published as it is then",
                    tooHigh + olderForLong,
                    last = replied(page("a", "c", version = 8)),
                    actions = listOf("publish ac", "follow 8"),
                ),
                DiscoveryCase(
                    "and followed from there",
                    tooHigh + olderForLong + page("a", "c", version = 8),
                    last = replied(changed("d", version = 9)),
                    actions = listOf("publish acd", "follow 9"),
                ),
                DiscoveryCase(
                    "is believed more than a peer whose version was disproved",
                    tooHigh + olderForLong + page("a", version = 8) +
                        TableReply.Failed("503"),
                    last = DiscoveryEvent.PeerReported(
                        StoreTable.UPSTREAMS,
                        "10.0.0.2:1",
                        edition(1_000),
                    ),
                    actions = emptyList(),
                ),
                DiscoveryCase(
                    "is not doubted for one answer that is too old",
                    tooHigh + olderForLong.dropLast(1) + changed("d", version = 1_001) + older,
                    last = replied(older),
                    actions = listOf("follow 1001"),
                ),
            ) { check(it) }
        }

        // Guards against a node that keeps a configuration that its peers have replaced (CONFIG).
        context("a peer that knows of a change before this node") {
            withData(
                PeerLeadCase("is not asked at once", 140.milliseconds, isAsked = false),
                PeerLeadCase("is asked if the store does not send the change", 150.milliseconds),
                PeerLeadCase(
                    "is not asked if the store sends the change",
                    150.milliseconds,
                    storeVersion = 9,
                    isAsked = false,
                ),
                PeerLeadCase(
                    "is asked if the store sends an earlier change",
                    150.milliseconds,
                    storeVersion = 8,
                ),
                PeerLeadCase(
                    "is asked later about upstreams, whose changes are batched",
                    499.milliseconds,
                    StoreTable.UPSTREAMS,
                    isAsked = false,
                ),
                PeerLeadCase("as well", 500.milliseconds, StoreTable.UPSTREAMS),
            ) { case ->
                val filter = DiscoveryFilter(rows = TestRows)
                val start = 1.seconds
                val lead = DiscoveryEvent.PeerReported(case.table, "10.0.0.2:1", edition(9))
                val events = listOfNotNull(
                    replied(page("a"), case.table),
                    lead,
                    case.storeVersion?.let { replied(changed("a", it), case.table) },
                )
                val state = events.fold(filter.started()) { state, event ->
                    filter.handle(state, event, start).state
                }
                filter.step(state, DiscoveryEvent.Tick, start + case.delay).actions
                    .any { it is DiscoveryAction.AskPeer } shouldBe case.isAsked
            }
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
