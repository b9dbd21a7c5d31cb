package org.bilberrycart.bench.generations

import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentMap
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.VmId

/**
 * A seeded simulation of the replication and takeover decisions of several nodes.
 *
 * Messages are delayed, lost, duplicated and reordered; nodes die, pause, leave and lose contact
 * with each other. The engine of each owner generates different texts, so that tokens of two owners
 * of one generation can be told apart. The run stops at the first [Violation]. If [traced] is set,
 * the result contains the events of that generation.
 */
class SoakRun(
    private val seed: Long,
    private val plan: SoakPlan = SoakPlan(),
    traced: RequestId? = null,
) {
    private val world = SoakWorld(seed, plan, traced)
    private val processes = SoakProcesses(world)
    private val callers = SoakCallers(world, processes)
    private val faults = SoakFaults(world, callers)

    /** Runs until all answers have ended, the horizon is reached or a violation is found. */
    fun run(): SoakResult {
        start()
        while (world.violation == null && world.callers.values.any { it.end == null }) {
            val due = world.queue.first()
            if (due == null || due.at > world.plan.horizon) {
                val stuck = world.callers.values.first { it.end == null }
                world.reportViolation(
                    "answer_ends",
                    stuck.request,
                    "no end by ${world.plan.horizon}",
                )
            } else {
                world.queue = world.queue.rest()
                world.now = due.at
                handle(due.item)
            }
        }
        return SoakResult(
            seed = seed,
            generations = world.plan.generations,
            tokens = world.tokens,
            faults = world.faultsBegun,
            takeovers = world.takeovers,
            whole = world.callers.values.count { it.end is AnswerPart.Finished },
            refused = world.callers.values.count { it.end is AnswerPart.Failed },
            violation = world.violation,
            trace = world.trace,
        )
    }

    private fun start() {
        world.nodes =
            (1..plan.nodes).associate {
                VmId("vm$it") to world.node(it, processNumber = 1)
            }.toPersistentMap()
        world.nodes.values.forEach { node ->
            world.nodes.values.filter {
                it !== node
            }.forEach { world.scheduleMemberRecord(node, it.member, 1) }
            world.startTicks(node)
        }
        repeat(world.plan.generations) { number ->
            world.schedule(world.randomBetween(0.seconds, 1.seconds), open(number))
        }
        repeat(world.plan.faults) {
            world.schedule(
                world.randomBetween(0.seconds, world.plan.faultWindow),
                SoakEvent.FaultBegins(faults.randomFault()),
            )
        }
        world.plan.script.forEach { world.schedule(it.at, SoakEvent.ScriptedFaultBegins(it)) }
    }

    private fun open(number: Int): SoakEvent {
        val id = RequestId("r$number")
        world.callers = world.callers.put(id, SoakCaller(id))
        return SoakEvent.CallerConnects(id)
    }

    private fun handle(event: SoakEvent): Unit = when (event) {
        is SoakEvent.NodeEvent -> processes.handleNodeEvent(event)
        is SoakEvent.PartArrived -> callers.partArrived(event)
        is SoakEvent.ConnectionLost -> callers.connectionLost(event)
        is SoakEvent.CallerConnects -> callers.connect(event.request)
        is SoakEvent.ScriptedFaultBegins -> faults.beginScriptedFault(event.fault)
        is SoakEvent.FaultBegins -> faults.beginFault(event.fault)
        is SoakEvent.FaultEnds -> faults.endFault(event.fault)
    }
}
