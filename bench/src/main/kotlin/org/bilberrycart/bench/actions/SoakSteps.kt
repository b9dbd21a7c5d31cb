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
private val TICK = 50.milliseconds
private val LAST_TICK = 110.seconds
private const val MAX_HOP = 30L
private const val MAX_STALL = 5_000L
private const val STALL_SHARE = 0.05
private const val RESET_BEFORE_SHARE = 0.08
private const val RESET_DURING_SHARE = 0.08
private const val RESET_AFTER_SHARE = 0.08

/** Returns the world after the next thing that happens. */
internal fun SoakWorld.next(): SoakWorld {
    val next = queue.minWith(compareBy(Scheduled::at, Scheduled::number))
    val world = copy(queue = queue.remove(next), now = maxOf(now, next.at))
    return world.handle(next.happening)
}

/** Returns a random source that depends on the seed and the number of things scheduled. */
internal fun SoakWorld.random(): Random = Random(seed * RANDOM_STRIDE + scheduled)

private const val RANDOM_STRIDE = 1_000_003L

private fun SoakWorld.handle(happening: Happening): SoakWorld = when (happening) {
    is Happening.AtNode -> whenAwake(happening, happening.node, happening.incarnation) {
        stepNode(happening.node, happening.event)
    }
    is Happening.AtTable -> atTable(happening)
    is Happening.AtDispatch -> whenAwake(happening, happening.node, happening.incarnation) {
        dispatch(happening)
    }
    is Happening.AtService -> serve(happening)
    is Happening.Crash -> crash(happening.node)
    is Happening.Pause -> pause(happening)
    is Happening.TableOutage ->
        copy(tableDownUntil = maxOf(tableDownUntil, now + happening.length), faults = faults + 1)
    is Happening.TickNode -> tick(happening)
}

private fun SoakWorld.tick(happening: Happening.TickNode): SoakWorld {
    val node = nodes[happening.node]
    val next = if (now < LAST_TICK) schedule(now + TICK, happening) else this
    return if (now < node.pausedUntil) {
        next
    } else {
        next.stepNode(happening.node, IdempotencyEvent.Tick)
    }
}

private fun SoakWorld.whenAwake(
    happening: Happening,
    index: Int,
    incarnation: Int,
    run: SoakWorld.() -> SoakWorld,
): SoakWorld {
    val node = nodes[index]
    val isArrival = happening is Happening.AtNode && happening.event is IdempotencyEvent.Arrived
    return when {
        now < node.pausedUntil -> schedule(node.pausedUntil, happening)
        incarnation != node.incarnation && !isArrival -> this
        else -> run()
    }
}

private fun SoakWorld.stepNode(index: Int, event: IdempotencyEvent): SoakWorld {
    val node = nodes[index]
    val step = filter.step(node.state, event, now)
    val stepped = copy(nodes = nodes.set(index, node.copy(state = step.state)))
    return step.actions.fold(stepped) { world, action -> world.carryOut(index, action) }
}

private fun SoakWorld.carryOut(index: Int, action: IdempotencyAction): SoakWorld {
    val incarnation = nodes[index].incarnation
    return when (action) {
        is IdempotencyAction.Store ->
            schedule(now + hop(), Happening.AtTable(index, incarnation, action))
        is IdempotencyAction.Place ->
            schedule(now + hop(), Happening.AtDispatch(index, incarnation, action.placement))
        is IdempotencyAction.Cancel -> this
        is IdempotencyAction.Deliver -> copy(
            answers = answers.add(Answer(action.request, action.part)),
        )
    }
}

/** Dispatch checks the deadline last; the bytes may still take long to reach the service. */
private fun SoakWorld.dispatch(happening: Happening.AtDispatch): SoakWorld {
    val placement = happening.placement
    val isRefused = random().nextDouble() < RESET_BEFORE_SHARE
    if (now >= placement.request.deadline || isRefused) {
        val event = IdempotencyEvent.Lost(placement.attempt, LossCause.RESET, mayHaveRun = false)
        return reply(happening.node, happening.incarnation, event)
            .copy(faults = faults + if (isRefused) 1 else 0)
    }
    val stall = if (random().nextDouble() < STALL_SHARE) MAX_STALL else MAX_HOP
    val delay = random().nextLong(stall).milliseconds
    return schedule(
        now + delay,
        Happening.AtService(happening.node, happening.incarnation, placement),
    )
}

private fun SoakWorld.serve(happening: Happening.AtService): SoakWorld {
    val call = happening.placement.request as ServiceCall
    val attempt = happening.placement.attempt
    val draw = random().nextDouble()
    val isReset = draw < RESET_DURING_SHARE
    val isLost = draw < RESET_DURING_SHARE + RESET_AFTER_SHARE
    val key = keyOf(call)
    val isRepeat = call.repeatMode == RepeatMode.KEYED && executions.any { it.key == key }
    val served = when {
        isReset || isRepeat -> this
        else -> copy(executions = executions.add(Execution(key, attempt)))
    }
    val event = when {
        isLost -> IdempotencyEvent.Lost(attempt, LossCause.RESET, mayHaveRun = true)
        else -> IdempotencyEvent.Answered(attempt, status = 200, body = bodyOf(key))
    }
    return served.copy(faults = served.faults + if (isLost) 1 else 0)
        .reply(happening.node, happening.incarnation, event)
}

private fun SoakWorld.crash(index: Int): SoakWorld {
    val node = nodes[index]
    val incarnation = node.incarnation + 1
    val fresh = IdempotencyState(instance = "$index-$incarnation", seed = node.state.seed + 1)
    return copy(
        nodes = nodes.set(index, SoakNode(fresh, incarnation)),
        faults = faults + 1,
    )
}

private fun SoakWorld.pause(happening: Happening.Pause): SoakWorld {
    val node = nodes[happening.node]
    val until = maxOf(node.pausedUntil, now + happening.length)
    return copy(
        nodes = nodes.set(happening.node, node.copy(pausedUntil = until)),
        faults = faults + 1,
    )
}

/** Brings [event] to the node, unless it restarts before. */
internal fun SoakWorld.reply(node: Int, incarnation: Int, event: IdempotencyEvent): SoakWorld =
    schedule(now + hop(), Happening.AtNode(node, incarnation, event))

private fun SoakWorld.hop(): Duration = random().nextLong(1, MAX_HOP).milliseconds
