package org.bilberrycart.lease

import io.kotest.core.spec.style.FunSpec
import io.kotest.core.spec.style.scopes.FunSpecContainerScope
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.model.VmId

private data class At(val seconds: Int, val event: LeaseEvent)

private data class ScriptCase(val name: String, val script: List<At>, val actions: List<String>) :
    WithDataTestName {
    override fun dataTestName(): String = name
}

private fun case(name: String, vararg script: At, then: List<String>) =
    ScriptCase(name, script.toList(), then)

private fun tick(at: Int) = At(at, LeaseEvent.Tick)

private fun read(at: Int, operation: Long, stored: StoredLease?) =
    At(at, LeaseEvent.Read(operation, stored))

private fun written(at: Int, operation: Long, version: Long) =
    At(at, LeaseEvent.Written(operation, version))

private fun failed(at: Int, operation: Long, mayHaveApplied: Boolean) =
    At(at, LeaseEvent.Failed(operation, mayHaveApplied))

private fun other(version: Long, isReleased: Boolean = false) =
    StoredLease(LeaseRecord(VmId("other"), fencing = 5, "o", version, isReleased), version)

private fun own(renewal: Long, version: Long, fencing: Long = 1) =
    StoredLease(LeaseRecord(VmId("self"), fencing, "i", renewal), version)

private val leaseTaken =
    arrayOf(tick(0), read(0, 1, stored = null), written(0, operation = 2, version = 1))
private val takenActions = listOf("read", "write 1", "held 1 until 7s")

private fun describe(action: LeaseAction): String = when (action) {
    is LeaseAction.Held -> "held ${action.fencing} until ${action.validUntil}"
    is LeaseAction.Lost -> "lost ${action.fencing}"
    is LeaseAction.Read -> "read"
    is LeaseAction.Write -> "write ${action.record.fencing}"
}

private fun run(script: List<At>): List<String> {
    val filter = LeaseFilter()
    val initial = LeaseState(VmId("self"), instance = "i")
    return script.runningFold(initial to emptyList<String>()) { (state, _), at ->
        val step = filter.step(state, at.event, at.seconds.seconds)
        step.state to step.actions.map(::describe)
    }.flatMap { it.second }
}

class LeaseFilterTest :
    FunSpec({
        context("the holder") {
            withData(
                case(
                    "renews the lease, which counts from when the renewal was sent",
                    *leaseTaken,
                    tick(2),
                    written(4, operation = 3, version = 2),
                    then = takenActions + listOf("write 1", "held 1 until 9s"),
                ),
                case(
                    "paused past the end of its lease: stops before any other action",
                    *leaseTaken,
                    tick(8),
                    then = takenActions + listOf("lost 1", "read"),
                ),
                case(
                    "a renewal confirmed after the end of the lease does not count",
                    *leaseTaken,
                    tick(2),
                    written(10, operation = 3, version = 2),
                    then = takenActions + listOf("write 1", "lost 1"),
                ),
                case(
                    "loses the lease when the store fails for longer than its duration",
                    *leaseTaken,
                    tick(2),
                    failed(3, 3, mayHaveApplied = false),
                    tick(5),
                    failed(6, 4, mayHaveApplied = false),
                    tick(7),
                    then = takenActions + listOf("write 1", "write 1", "lost 1"),
                ),
                case(
                    "the answer to a renewal is lost, the renewal was applied",
                    *leaseTaken,
                    tick(2),
                    failed(3, 3, mayHaveApplied = true),
                    read(3, 4, own(renewal = 3, version = 2)),
                    then = takenActions + listOf("write 1", "read", "held 1 until 9s"),
                ),
                case(
                    "a delayed renewal is applied after the next was sent: renews again",
                    *leaseTaken,
                    tick(2),
                    failed(3, 3, mayHaveApplied = true),
                    read(3, 4, own(renewal = 2, version = 1)),
                    tick(5),
                    At(5, LeaseEvent.Conflict(5, own(renewal = 3, version = 2))),
                    written(6, operation = 6, version = 3),
                    then = takenActions +
                        listOf("write 1", "read", "write 1", "write 1", "held 1 until 12s"),
                ),
                case(
                    "another node has the lease: stops",
                    *leaseTaken,
                    tick(2),
                    At(3, LeaseEvent.Conflict(3, other(version = 6))),
                    then = takenActions + listOf("write 1", "lost 1"),
                ),
                case(
                    "leaves: stops, then releases the lease",
                    *leaseTaken,
                    At(1, LeaseEvent.Leaving),
                    tick(5),
                    then = takenActions + listOf("lost 1", "write 1"),
                ),
            )
        }

        context("a candidate") {
            withData(
                case(
                    "waits until the row is unchanged for the whole duration",
                    tick(0),
                    read(0, 1, other(version = 3)),
                    tick(8),
                    read(8, 2, other(version = 3)),
                    then = listOf("read", "read"),
                ),
                case(
                    "takes the lease with the next fencing number",
                    tick(0),
                    read(0, 1, other(version = 3)),
                    tick(9),
                    read(9, 2, other(version = 3)),
                    written(9, operation = 3, version = 4),
                    then = listOf("read", "read", "write 6", "held 6 until 16s"),
                ),
                case(
                    "a renewal by the holder restarts the wait",
                    tick(0),
                    read(0, 1, other(version = 3)),
                    tick(6),
                    read(6, 2, other(version = 4)),
                    tick(10),
                    read(10, 3, other(version = 4)),
                    then = listOf("read", "read", "read"),
                ),
                case(
                    "an outdated read does not shorten the wait",
                    tick(0),
                    read(0, 1, other(version = 3)),
                    tick(6),
                    read(6, 2, other(version = 4)),
                    tick(14),
                    read(14, 3, other(version = 3)),
                    then = listOf("read", "read", "read"),
                ),
                case(
                    "a released lease is taken at once",
                    tick(0),
                    read(0, 1, other(version = 3, isReleased = true)),
                    then = listOf("read", "write 6"),
                ),
                case(
                    "two candidates: the second finds the row of the first",
                    tick(0),
                    read(0, 1, stored = null),
                    At(0, LeaseEvent.Conflict(2, other(version = 1))),
                    then = listOf("read", "write 1"),
                ),
                case(
                    "not eligible: does not read the lease",
                    At(0, LeaseEvent.EligibilityChanged(isEligible = false)),
                    tick(1),
                    then = emptyList(),
                ),
            )
        }
    })

private suspend fun FunSpecContainerScope.withData(vararg cases: ScriptCase) =
    withData(cases.toList()) { case -> run(case.script) shouldBe case.actions }
