package org.bilberrycart.bench.actions

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.idempotency.IdempotencyAction
import org.bilberrycart.idempotency.IdempotencyEvent
import org.bilberrycart.idempotency.IdempotencyFilter
import org.bilberrycart.idempotency.IdempotencyState
import org.bilberrycart.model.LossCause
import org.bilberrycart.model.RepeatMode
import org.bilberrycart.model.ServiceCall

private val filter = IdempotencyFilter()
private val TICK_INTERVAL = 50.milliseconds
private val LAST_TICK = 110.seconds
private const val MAX_DELAY_MILLIS = 30L
private const val MAX_STALL_MILLIS = 5_000L
private const val STALL_SHARE = 0.05
private const val RESET_BEFORE_SHARE = 0.08
private const val RESET_DURING_SHARE = 0.08
private const val RESET_AFTER_SHARE = 0.08

/** Returns the simulation after its earliest scheduled event. */
internal fun Simulation.advance(): Simulation {
    val next = queue.minWith(compareBy(ScheduledEvent::at, ScheduledEvent::number))
    val simulation = copy(queue = queue.remove(next), now = maxOf(now, next.at))
    return simulation.handle(next.event)
}

/** Returns a random source that depends on the seed and the number of events scheduled. */
internal fun Simulation.random(): Random = Random(seed * RANDOM_SEED_STRIDE + scheduled)

private const val RANDOM_SEED_STRIDE = 1_000_003L

private fun Simulation.handle(event: SimulationEvent): Simulation = when (event) {
    is SimulationEvent.NodeInput -> runUnlessPaused(event, event.node, event.incarnation) {
        stepNode(event.node, event.event)
    }
    is SimulationEvent.StoreCall -> handleStoreCall(event)
    is SimulationEvent.Dispatch -> runUnlessPaused(event, event.node, event.incarnation) {
        dispatch(event)
    }
    is SimulationEvent.ServiceArrival -> executeCall(event)
    is SimulationEvent.NodeCrash -> crash(event.node)
    is SimulationEvent.NodePause -> pause(event)
    is SimulationEvent.TableOutage ->
        copy(tableDownUntil = maxOf(tableDownUntil, now + event.length), faults = faults + 1)
    is SimulationEvent.NodeTick -> tick(event)
}

private fun Simulation.tick(tick: SimulationEvent.NodeTick): Simulation {
    val node = nodes[tick.node]
    val next = if (now < LAST_TICK) schedule(now + TICK_INTERVAL, tick) else this
    return if (now < node.pausedUntil) {
        next
    } else {
        next.stepNode(tick.node, IdempotencyEvent.Tick)
    }
}

/**
 * Runs [run] unless the node is paused, which delays [event], or has restarted since [incarnation],
 * which drops it. New calls reach the restarted node.
 */
private fun Simulation.runUnlessPaused(
    event: SimulationEvent,
    index: Int,
    incarnation: Int,
    run: Simulation.() -> Simulation,
): Simulation {
    val node = nodes[index]
    val isArrival = event is SimulationEvent.NodeInput && event.event is IdempotencyEvent.Arrived
    return when {
        now < node.pausedUntil -> schedule(node.pausedUntil, event)
        incarnation != node.incarnation && !isArrival -> this
        else -> run()
    }
}

private fun Simulation.stepNode(index: Int, event: IdempotencyEvent): Simulation {
    val node = nodes[index]
    val step = filter.step(node.state, event, now)
    val stepped = copy(nodes = nodes.set(index, node.copy(state = step.state)))
    return step.actions.fold(stepped) { simulation, action -> simulation.perform(index, action) }
}

private fun Simulation.perform(index: Int, action: IdempotencyAction): Simulation {
    val incarnation = nodes[index].incarnation
    return when (action) {
        is IdempotencyAction.Store ->
            schedule(now + networkDelay(), SimulationEvent.StoreCall(index, incarnation, action))
        is IdempotencyAction.Place ->
            schedule(
                now + networkDelay(),
                SimulationEvent.Dispatch(index, incarnation, action.placement),
            )
        is IdempotencyAction.Cancel -> this
        is IdempotencyAction.Deliver -> copy(
            answers = answers.add(Answer(action.request, action.part)),
        )
    }
}

/**
 * Sends a call to the service. The deadline is checked for the last time here, although the request
 * may still take up to [MAX_STALL_MILLIS] to arrive.
 */
private fun Simulation.dispatch(dispatch: SimulationEvent.Dispatch): Simulation {
    val placement = dispatch.placement
    val isRefused = random().nextDouble() < RESET_BEFORE_SHARE
    if (now >= placement.request.deadline || isRefused) {
        val event = IdempotencyEvent.Lost(placement.attempt, LossCause.RESET, mayHaveRun = false)
        return reply(dispatch.node, dispatch.incarnation, event)
            .copy(faults = faults + if (isRefused) 1 else 0)
    }
    val stall = if (random().nextDouble() < STALL_SHARE) MAX_STALL_MILLIS else MAX_DELAY_MILLIS
    val delay = random().nextLong(stall).milliseconds
    return schedule(
        now + delay,
        SimulationEvent.ServiceArrival(dispatch.node, dispatch.incarnation, placement),
    )
}

private fun Simulation.executeCall(arrival: SimulationEvent.ServiceArrival): Simulation {
    val call = arrival.placement.request as ServiceCall
    val attempt = arrival.placement.attempt
    val draw = random().nextDouble()
    val isReset = draw < RESET_DURING_SHARE
    val isLost = draw < RESET_DURING_SHARE + RESET_AFTER_SHARE
    val key = recordKeyOf(call)
    val isRepeat = call.repeatMode == RepeatMode.KEYED && executions.any { it.key == key }
    val served = when {
        isReset || isRepeat -> this
        else -> copy(executions = executions.add(Execution(key, attempt)))
    }
    val event = when {
        isLost -> IdempotencyEvent.Lost(attempt, LossCause.RESET, mayHaveRun = true)
        else -> IdempotencyEvent.Answered(attempt, status = 200, body = responseBodyOf(key))
    }
    return served.copy(faults = served.faults + if (isLost) 1 else 0)
        .reply(arrival.node, arrival.incarnation, event)
}

private fun Simulation.crash(index: Int): Simulation {
    val node = nodes[index]
    val incarnation = node.incarnation + 1
    val fresh = IdempotencyState(instance = "$index-$incarnation", seed = node.state.seed + 1)
    return copy(
        nodes = nodes.set(index, SimulatedNode(fresh, incarnation)),
        faults = faults + 1,
    )
}

private fun Simulation.pause(pause: SimulationEvent.NodePause): Simulation {
    val node = nodes[pause.node]
    val until = maxOf(node.pausedUntil, now + pause.length)
    return copy(
        nodes = nodes.set(pause.node, node.copy(pausedUntil = until)),
        faults = faults + 1,
    )
}

/** Delivers [event] to [node] after a network delay, unless the node restarts before. */
internal fun Simulation.reply(node: Int, incarnation: Int, event: IdempotencyEvent): Simulation =
    schedule(now + networkDelay(), SimulationEvent.NodeInput(node, incarnation, event))

private fun Simulation.networkDelay(): Duration =
    random().nextLong(1, MAX_DELAY_MILLIS).milliseconds
