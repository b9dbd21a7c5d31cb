package org.bilberrycart.routing

import kotlin.time.Duration
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.Isolation
import org.bilberrycart.model.Placement
import org.bilberrycart.model.ResultCode
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.invariant
import org.bilberrycart.pipeline.then
import org.bilberrycart.pipeline.withActions

/** Returns the pools that can do the work of [placement], the better one first. */
internal fun RoutingState.keysOf(placement: Placement): List<PoolKey> {
    val key = PoolKey.of(placement.request, routingOf(placement.request.service).policy)
    return when (key.lane) {
        PoolKey.Lane.ANY -> listOf(key)
        PoolKey.Lane.SHORT -> listOf(key, key.copy(lane = PoolKey.Lane.REST))
        PoolKey.Lane.REST -> listOf(key, key.copy(lane = PoolKey.Lane.SHORT))
    }
}

/** Returns this state and the dispatch of [placement] to the upstream that [choice] names. */
internal fun RoutingState.dispatch(
    placement: Placement,
    choice: Choice.Chosen,
): Step<RoutingState, RoutingAction> {
    val id = choice.upstream.upstream.id
    val key = keysOf(placement).first { it in choice.upstream.pools }
    val pool = pools.getValue(key).copy(cursor = choice.cursor)
    val next = copy(
        attempts = attempts.put(placement.attempt, id),
        pools = pools.put(key, pool),
    ).update(id) { it.copy(own = it.own + 1) }
    return next
        .withActions<_, RoutingAction>(
            RoutingAction.Dispatch(placement, choice.upstream.upstream),
        )
        .then { it.isolate(placement, id) }
}

/** Returns this state and the end of [placement] with [code]. */
internal fun RoutingState.unplaceable(
    placement: Placement,
    code: ResultCode,
): Step<RoutingState, RoutingAction> = Step(
    this,
    persistentListOf(RoutingAction.Unplaceable(placement.attempt, placement.request, code)),
)

/** Lets [placement] wait for a slot; the last in the queue gives way when the queue is full. */
internal fun RoutingState.enqueue(
    placement: Placement,
    now: Duration,
): Step<RoutingState, RoutingAction> {
    val item = Waiting(placement, placement.request.deadline, ResultCode.DEADLINE_PASSED)
    val queued = enqueue(item, now)
    if (placement.isolation != Isolation.ALONE) return queued
    return queued.then { it.drainOne(keysOf(placement).first(), now) }
}

/** Lets a resumed [placement] wait for an engine to appear; ends a first attempt at once. */
internal fun RoutingState.unmatched(
    placement: Placement,
    now: Duration,
): Step<RoutingState, RoutingAction> {
    if (!placement.isResume) return unplaceable(placement, ResultCode.NO_UPSTREAM)
    val wait = routingOf(placement.request.service).resumeWait
    val until = minOf(placement.request.deadline, now + wait)
    return enqueue(Waiting(placement, until, ResultCode.NO_MATCHING_ENGINE), now)
}

private fun RoutingState.enqueue(item: Waiting, now: Duration): Step<RoutingState, RoutingAction> {
    val key = keysOf(item.placement).first()
    val pool = pools[key] ?: Pool()
    val limit = routingOf(key.service).queueLimit
    val queue = pool.waiting.insert(item)
    if (item.until <= now) return unplaceable(item.placement, item.code)
    if (queue.size <= limit) return Step(withWaiting(key, pool, queue))
    val last = queue.last()
    return withWaiting(key, pool, queue.removeAt(queue.lastIndex))
        .unplaceable(last.placement, ResultCode.OVERLOADED)
}

private fun RoutingState.withWaiting(key: PoolKey, pool: Pool, queue: List<Waiting>) =
    copy(pools = pools.put(key, pool.copy(waiting = queue.toPersistentList())))

/** Returns this state without [attempt] in any queue. */
internal fun RoutingState.withdrawn(attempt: AttemptId): RoutingState {
    val (key, pool) = pools.entries
        .firstOrNull { (_, pool) -> pool.waiting.any { it.placement.attempt == attempt } }
        ?: return this
    return withWaiting(key, pool, pool.waiting.filter { it.placement.attempt != attempt })
}

/** Ends all placements that have waited too long. */
internal fun RoutingState.expired(now: Duration): Step<RoutingState, RoutingAction> =
    pools.entries.filter { it.value.waiting.isNotEmpty() }
        .fold(Step<RoutingState, RoutingAction>(this)) { step, (key, _) ->
            step.then { it.expired(key, now) }
        }

private fun RoutingState.expired(key: PoolKey, now: Duration): Step<RoutingState, RoutingAction> {
    val pool = pools.getValue(key)
    val (late, left) = pool.waiting.partition { it.until <= now }
    if (late.isEmpty()) return Step(this)
    val ends = late.map {
        RoutingAction.Unplaceable(it.placement.attempt, it.placement.request, it.code)
    }
    return Step(
        withWaiting(key, pool, left),
        persistentListOf<RoutingAction>().addAll(ends),
    )
}

/** Places what waits for [upstream], or for any upstream if null, as far as there is room. */
internal fun placeWaiting(
    state: RoutingState,
    upstream: UpstreamId?,
    now: Duration,
): Step<RoutingState, RoutingAction> {
    val keys = if (upstream == null) state.pools.keys else state.upstreams[upstream]?.pools
    return keys.orEmpty().fold(Step(state)) { step, key ->
        step.then { it.placeWaitingIn(key, now) }
    }
}

private fun RoutingState.placeWaitingIn(
    key: PoolKey,
    now: Duration,
): Step<RoutingState, RoutingAction> {
    var step = Step<RoutingState, RoutingAction>(this)
    var index = 0
    while (true) {
        val queue = step.state.pools[key]?.waiting.orEmpty()
        val item = queue.getOrNull(index) ?: return step
        step = step.then { it.placeAt(key, index, now) }
        val isPlaced = step.state.pools.getValue(key).waiting.size < queue.size
        if (!isPlaced && item.placement.isolation != Isolation.ALONE) return step
        if (!isPlaced) index++
    }
}

private fun RoutingState.placeAt(
    key: PoolKey,
    index: Int,
    now: Duration,
): Step<RoutingState, RoutingAction> {
    val item = pools.getValue(key).waiting[index]
    val (choice, next) = search(item.placement, now)
    val pool = next.pools.getValue(key)
    val without = next.withWaiting(key, pool, pool.waiting.removeAt(index))
    val isUnmatched = item.code == ResultCode.NO_MATCHING_ENGINE
    return when (choice) {
        is Choice.Chosen -> without.dispatch(item.placement, choice)
        Choice.Full -> if (isUnmatched) without.enqueue(item.placement, now) else Step(next)
        Choice.Unmatched -> if (isUnmatched) Step(next) else without.unmatched(item.placement, now)
    }
}

/** Returns this upstream with one attempt less. */
internal fun UpstreamState.released(): UpstreamState {
    invariant("routing_in_flight", own > 0) { "${upstream.id} has no attempt in flight" }
    return copy(own = own - 1)
}

/** Returns this state without [id] if it is neither declared nor in use. */
internal fun RoutingState.forgetDrained(id: UpstreamId): RoutingState {
    val held = upstreams[id] ?: return this
    return if (held.isDeclared || held.own > 0) this else copy(upstreams = upstreams.remove(id))
}

/** Returns this state once the upstream of [event] is known to leave. */
internal fun RoutingState.leaving(event: RoutingEvent.Leaving): RoutingState {
    val known = left[event.upstream]
    val newest = maxOf(event.incarnation, known ?: event.incarnation)
    val isKnown = known != null || event.upstream in upstreams
    if (!isKnown && left.size >= LEFT_LIMIT) return this
    return copy(left = left.put(event.upstream, newest))
        .update(event.upstream) { it.leaving(newest) }
}

private const val LEFT_LIMIT = 4_096
