package org.bilberrycart.membership

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.membership.MemberStatus.ALIVE
import org.bilberrycart.membership.MemberStatus.DEAD
import org.bilberrycart.membership.MemberStatus.LEFT
import org.bilberrycart.membership.MemberStatus.SUSPECT
import org.bilberrycart.membership.SimulatedFleet.Companion.member
import org.bilberrycart.membership.SimulatedFleet.Companion.vm

private data class RecordCase(
    val known: Pair<Long, MemberStatus>,
    val received: Pair<Long, MemberStatus>,
    val wins: Boolean,
) : WithDataTestName {
    override fun dataTestName() = "$received after $known"
}

private data class FaultCase(
    val name: String,
    val size: Int,
    val fault: (SimulatedFleet) -> SimulatedFleet,
    val wait: Duration,
    val expected: MemberStatus,
) : WithDataTestName {
    override fun dataTestName() = name
}

private fun record(version: Pair<Long, MemberStatus>) =
    MemberRecord(member(vm(2)), version.first, version.second)

class MembershipFilterTest :
    FunSpec({
        context("a record wins by its incarnation, then by the later status") {
            withData(
                RecordCase(1L to ALIVE, 1L to SUSPECT, wins = true),
                RecordCase(1L to SUSPECT, 1L to ALIVE, wins = false),
                RecordCase(1L to SUSPECT, 2L to ALIVE, wins = true),
                RecordCase(2L to ALIVE, 1L to DEAD, wins = false),
                RecordCase(1L to DEAD, 1L to SUSPECT, wins = false),
                RecordCase(1L to DEAD, 1L to LEFT, wins = true),
                RecordCase(1L to LEFT, 2L to ALIVE, wins = true),
            ) { case ->
                val state = MembershipState(
                    member(vm(1)),
                ).copy(
                    records = MembershipState(member(vm(1))).records.put(vm(2), record(case.known)),
                )
                val message = MembershipMessage.Members(listOf(record(case.received)))
                val event = MembershipEvent.Received(member(vm(3)), message)
                val next = MembershipFilter().step(state, event, Duration.ZERO).state
                next.records[vm(2)] shouldBe record(if (case.wins) case.received else case.known)
            }
        }

        context("the status of node 2 on the other nodes after a fault") {
            withData(
                FaultCase("nothing happens", 5, { it }, 60.seconds, ALIVE),
                FaultCase("it dies", 5, { it.copy(stopped = setOf(vm(2))) }, 20.seconds, DEAD),
                FaultCase(
                    "it dies in a larger fleet",
                    24,
                    { it.copy(stopped = setOf(vm(2))) },
                    60.seconds,
                    DEAD,
                ),
                FaultCase(
                    "only its link to node 1 is cut",
                    5,
                    { it.copy(isLinkCut = { a, b -> setOf(a, b) == setOf(vm(1), vm(2)) }) },
                    60.seconds,
                    ALIVE,
                ),
                FaultCase(
                    "it pauses for less than the suspicion timeout",
                    5,
                    {
                        it.copy(stopped = setOf(vm(2))).advance(2.seconds)
                            .copy(stopped = emptySet())
                    },
                    20.seconds,
                    ALIVE,
                ),
                FaultCase(
                    "it is declared dead and resumes",
                    5,
                    {
                        it.copy(stopped = setOf(vm(2))).advance(60.seconds)
                            .copy(stopped = emptySet())
                    },
                    40.seconds,
                    ALIVE,
                ),
                FaultCase(
                    "it leaves",
                    5,
                    { it.deliver(vm(2), MembershipEvent.Stopping) },
                    20.seconds,
                    LEFT,
                ),
            ) { case ->
                val fleet = case.fault(SimulatedFleet.of(case.size)).advance(case.wait)
                val others = (1..case.size).filter { it != 2 }
                others.associateWith { fleet.recordHeldBy(it, 2)?.status } shouldBe
                    others.associateWith { case.expected }
            }
        }

        test("the nodes find each other again after a partition of one hour") {
            val halves = SimulatedFleet.of(6).copy(
                isLinkCut = { a, b -> (a.value.last() <= '3') != (b.value.last() <= '3') },
            ).advance(60.seconds * 60)
            halves.recordHeldBy(1, 6)?.status shouldBe DEAD
            val healed = halves.copy(isLinkCut = { _, _ -> false }).advance(60.seconds)
            (2..6).map { healed.recordHeldBy(1, it)?.status }.toSet() shouldBe setOf(ALIVE)
        }

        test("a draining node is recorded as leaving and stays reachable") {
            val fleet = SimulatedFleet.of(5)
                .deliver(vm(2), MembershipEvent.DrainStarted).advance(20.seconds)
            listOf(1, 3, 4, 5).forEach {
                fleet.recordHeldBy(it, 2)?.leaving shouldBe true
                fleet.recordHeldBy(it, 2)?.isReachable shouldBe true
            }
        }

        test("a node that was paused suspects no member because of its own pause") {
            val paused = SimulatedFleet.of(5).copy(stopped = setOf(vm(1))).advance(500.milliseconds)
            val resumed = paused.copy(stopped = emptySet()).advance(100.milliseconds)
            resumed.states.getValue(vm(1)).counts.pauses shouldBe 1
            resumed.states.getValue(vm(1)).counts.suspicions shouldBe 0
        }

        test("a record is sent a bounded number of times") {
            val fleet = SimulatedFleet.of(8).advance(120.seconds)
            fleet.states.values.sumOf { it.pendingUpdates.size } shouldBeLessThanOrEqual 0
        }
    })
