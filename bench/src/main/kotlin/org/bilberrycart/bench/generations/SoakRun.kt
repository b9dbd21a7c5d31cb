package org.bilberrycart.bench.generations

import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentMap
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.VmId

/**
 * One seeded run of the replication and takeover decisions of several nodes.
 *
 * Messages are delayed, lost, repeated and reordered; nodes die, pause, leave and are cut off. The
 * engine of each owner gives its own texts, so that two lines of one generation differ. The run
 * stops at the first [Violation]. With [traced], the events of that generation are kept.
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

    /** Runs to the end of all answers, to the horizon, or to the first violation. */
    fun run(): SoakResult {
        start()
        while (world.violation == null && world.callers.values.any { it.end == null }) {
            val due = world.queue.first()
            if (due == null || due.at > world.plan.horizon) {
                val stuck = world.callers.values.first { it.end == null }
                world.fail("answer_ends", stuck.request, "no end by ${world.plan.horizon}")
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
            faults = world.struck,
            takeovers = world.takeovers,
            whole = world.callers.values.count { it.end is AnswerPart.Finished },
            refused = world.callers.values.count { it.end is AnswerPart.Failed },
            violation = world.violation,
            trace = world.trace,
        )
    }

    private fun start() {
        world.nodes =
            (1..plan.nodes).associate { VmId("vm$it") to world.node(it, run = 1) }.toPersistentMap()
        world.nodes.values.forEach { node ->
            world.nodes.values.filter { it !== node }.forEach { world.hear(node, it.member, 1) }
            world.startTicks(node)
        }
        repeat(world.plan.generations) { number ->
            world.schedule(world.between(0.seconds, 1.seconds), open(number))
        }
        repeat(world.plan.faults) {
            world.schedule(
                world.between(0.seconds, world.plan.faultTime),
                SoakEvent.Strike(faults.drawFault()),
            )
        }
        world.plan.script.forEach { world.schedule(it.at, SoakEvent.Scripted(it)) }
    }

    private fun open(number: Int): SoakEvent {
        val id = RequestId("r$number")
        world.callers = world.callers.put(id, SoakCaller(id))
        return SoakEvent.CallerBack(id)
    }

    private fun handle(event: SoakEvent): Unit = when (event) {
        is SoakEvent.OnNode -> processes.handleOnNode(event)
        is SoakEvent.Delivered -> callers.delivered(event)
        is SoakEvent.CallerCut -> callers.callerCut(event)
        is SoakEvent.CallerBack -> callers.callerBack(event.request)
        is SoakEvent.Scripted -> faults.scripted(event.fault)
        is SoakEvent.Strike -> faults.strike(event.fault)
        is SoakEvent.Mend -> faults.mend(event.fault)
    }
}
