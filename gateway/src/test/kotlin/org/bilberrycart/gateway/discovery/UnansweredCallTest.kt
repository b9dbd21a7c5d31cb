package org.bilberrycart.gateway.discovery

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A store whose connections fall silent, once each, as of the calls with the numbers [silent].
 *
 * @property changeAt when the store acknowledges a change of the table.
 */
private data class SilenceCase(
    val name: String,
    val table: StoreTable = StoreTable.CONFIGURATION,
    val silent: Set<Long>,
    val changeAt: Duration = 1.seconds,
    val peers: Int = 0,
    val pages: Int = 1,
) : WithDataTestName {
    override fun dataTestName(): String = "$name, $table, $peers peers"
}

/** A store that takes [answerTime] for each answer. */
private data class SlowStoreCase(val answerTime: Duration, val maxCallsInMinute: Int) :
    WithDataTestName {
    override fun dataTestName(): String = "$answerTime"
}

private val APPLY_TIME = 2.seconds

/** What is left of the time when discovery knows of a change, for the rest of the node. */
private val SPARE_TIME = 150.milliseconds

class UnansweredCallTest :
    FunSpec({
        fun applied(case: SilenceCase): Duration {
            val store = SimulatedStore(case.table, case.changeAt, case.silent, case.pages)
            return store.runUntilKnown(case.peers, limit = 60.seconds) - case.changeAt
        }

        // Guards against a node that keeps a configuration for good after one lost reply (CONFIG).
        context("a change is known in time though one call gets no reply") {
            val first = StoreTable.entries.flatMap { table ->
                listOf(0, 3).flatMap { peers ->
                    listOf(
                        SilenceCase("the first read", table, setOf(1), peers = peers),
                        SilenceCase("a later page", table, setOf(2), pages = 3, peers = peers),
                        SilenceCase(
                            "the first request for changes",
                            table,
                            setOf(2),
                            changeAt = 100.milliseconds,
                            peers = peers,
                        ),
                    )
                }
            }
            val moments = (0..15).map {
                SilenceCase(
                    "a change ${it * 100} ms after the start",
                    silent = setOf(3),
                    changeAt = 1.seconds + (it * 100).milliseconds,
                    peers = it % 2,
                )
            }
            // Beside many peers, requests for changes of upstreams follow after a delay (DRAIN).
            val fleets = listOf(8, 9, 15, 40).flatMap { peers ->
                (0..7).map {
                    SilenceCase(
                        "an upstream's change ${it * 300} ms after the start",
                        StoreTable.UPSTREAMS,
                        silent = setOf(if (it < 5) 2 else 3),
                        changeAt = (it * 300).milliseconds,
                        peers = peers,
                    )
                }
            }
            withData(first + moments + fleets) { case ->
                applied(case) shouldBeLessThan APPLY_TIME - SPARE_TIME
            }
        }

        // Guards against calls of a store in trouble that are given up again and again (CONFIG).
        context("a slow store is still followed") {
            withData(
                SlowStoreCase(4.milliseconds, maxCallsInMinute = 48),
                SlowStoreCase(200.milliseconds, maxCallsInMinute = 55),
                SlowStoreCase(1.seconds, maxCallsInMinute = 55),
                SlowStoreCase(2.5.seconds, maxCallsInMinute = 60),
            ) { case ->
                val store = SimulatedStore(
                    StoreTable.CONFIGURATION,
                    changeAt = 30.seconds,
                    answerTime = case.answerTime,
                )
                val known = store.runUntilKnown(peers = 0, limit = 60.seconds)
                known shouldBeLessThan 30.seconds + case.answerTime * 3 + 2.seconds
                store.run(peers = 0, until = 60.seconds)
                store.calls(StoreTable.CONFIGURATION) shouldBeLessThan case.maxCallsInMinute
            }
        }

        // Guards against a second series of calls that a late reply starts.
        test("a late reply to a call that was given up starts nothing") {
            val filter = DiscoveryFilter(rows = TestRows)
            val start = filter.step(DiscoveryState(), DiscoveryEvent.Start, Duration.ZERO).state
            val late = DiscoveryEvent.Replied(
                StoreTable.CONFIGURATION,
                start.feeds.getValue(StoreTable.CONFIGURATION).call!!.number,
                TableReply.Failed("late"),
            )
            val given = filter.step(start, DiscoveryEvent.Tick, 1.seconds)
            given.actions.count { it is DiscoveryAction.GiveUp } shouldBe StoreTable.entries.size
            filter.step(given.state, late, 1.1.seconds).let { step ->
                step.actions shouldBe emptyList()
                step.state shouldBe given.state
            }
        }
    })
