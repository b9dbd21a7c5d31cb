package org.bilberrycart.membership

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.membership.Fleet.Companion.member
import org.bilberrycart.membership.Fleet.Companion.vm
import org.bilberrycart.membership.MemberStatus.ALIVE
import org.bilberrycart.membership.MemberStatus.DEAD
import org.bilberrycart.membership.MemberStatus.LEFT
import org.bilberrycart.membership.MemberStatus.SUSPECT

private data class ClaimCase(
    val known: Pair<Long, MemberStatus>,
    val claim: Pair<Long, MemberStatus>,
    val wins: Boolean,
) : WithDataTestName {
    override fun dataTestName() = "$claim after $known"
}

private data class FaultCase(
    val name: String,
    val size: Int,
    val fault: (Fleet) -> Fleet,
    val wait: Duration,
    val expected: MemberStatus,
) : WithDataTestName {
    override fun dataTestName() = name
}

private fun record(claim: Pair<Long, MemberStatus>) =
    MemberRecord(member(vm(2)), claim.first, claim.second)

class MembershipFilterTest :
    FunSpec({
        context("a claim wins by incarnation, then by the later status") {
            withData(
                ClaimCase(1L to ALIVE, 1L to SUSPECT, wins = true),
                ClaimCase(1L to SUSPECT, 1L to ALIVE, wins = false),
                ClaimCase(1L to SUSPECT, 2L to ALIVE, wins = true),
                ClaimCase(2L to ALIVE, 1L to DEAD, wins = false),
                ClaimCase(1L to DEAD, 1L to SUSPECT, wins = false),
                ClaimCase(1L to DEAD, 1L to LEFT, wins = true),
                ClaimCase(1L to LEFT, 2L to ALIVE, wins = true),
            ) { case ->
                val state = MembershipState(
                    member(vm(1)),
                ).copy(
                    records = MembershipState(member(vm(1))).records.put(vm(2), record(case.known)),
                )
                val message = MembershipMessage.Members(listOf(record(case.claim)))
                val event = MembershipEvent.Received(member(vm(3)), message)
                val next = MembershipFilter().step(state, event, Duration.ZERO).state
                next.records[vm(2)] shouldBe record(if (case.wins) case.claim else case.known)
            }
        }

        context("what the others believe of node 2 after a fault") {
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
                    "its link to node 1 alone is cut",
                    5,
                    { it.copy(cut = { a, b -> setOf(a, b) == setOf(vm(1), vm(2)) }) },
                    60.seconds,
                    ALIVE,
                ),
                FaultCase(
                    "it pauses for less than the suspicion",
                    5,
                    { it.copy(stopped = setOf(vm(2))).after(2.seconds).copy(stopped = emptySet()) },
                    20.seconds,
                    ALIVE,
                ),
                FaultCase(
                    "it is declared dead and comes back",
                    5,
                    {
                        it.copy(stopped = setOf(vm(2))).after(60.seconds).copy(stopped = emptySet())
                    },
                    40.seconds,
                    ALIVE,
                ),
                FaultCase(
                    "it leaves",
                    5,
                    { it.deliver(vm(2), MembershipEvent.Left) },
                    20.seconds,
                    LEFT,
                ),
            ) { case ->
                val fleet = case.fault(Fleet.of(case.size)).after(case.wait)
                val others = (1..case.size).filter { it != 2 }
                others.associateWith { fleet.view(it, 2)?.status } shouldBe
                    others.associateWith { case.expected }
            }
        }

        test("a partition for an hour heals by itself") {
            val halves = Fleet.of(6).copy(
                cut = { a, b -> (a.value.last() <= '3') != (b.value.last() <= '3') },
            ).after(60.seconds * 60)
            halves.view(1, 6)?.status shouldBe DEAD
            val healed = halves.copy(cut = { _, _ -> false }).after(60.seconds)
            (2..6).map { healed.view(1, it)?.status }.toSet() shouldBe setOf(ALIVE)
        }

        test("a draining node is known as leaving and stays reachable") {
            val fleet = Fleet.of(5).deliver(vm(2), MembershipEvent.Leave).after(20.seconds)
            listOf(1, 3, 4, 5).forEach {
                fleet.view(it, 2)?.leaving shouldBe true
                fleet.view(it, 2)?.isReachable shouldBe true
            }
        }

        test("a node that was paused suspects nobody because of its own pause") {
            val paused = Fleet.of(5).copy(stopped = setOf(vm(1))).after(500.milliseconds)
            val woken = paused.copy(stopped = emptySet()).after(100.milliseconds)
            woken.states.getValue(vm(1)).counts.pauses shouldBe 1
            woken.states.getValue(vm(1)).counts.suspicions shouldBe 0
        }

        test("a claim stops being sent after a bounded number of times") {
            val fleet = Fleet.of(8).after(120.seconds)
            fleet.states.values.sumOf { it.spreading.size } shouldBeLessThanOrEqual 0
        }
    })
