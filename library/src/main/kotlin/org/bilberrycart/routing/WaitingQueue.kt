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

/** Returns the keys of the pools that can run [placement], the one meant for it first. */
internal fun RoutingState.poolKeysOf(placement: Placement): List<PoolKey> {
    val key = PoolKey.of(placement.request, routingOf(placement.request.service).policy)
    return when (key.lane) {
        PoolKey.Lane.ANY -> listOf(key)
        PoolKey.Lane.SHORT -> listOf(key, key.copy(lane = PoolKey.Lane.REST))
        PoolKey.Lane.REST -> listOf(key, key.copy(lane = PoolKey.Lane.SHORT))
    }
}

/** Dispatches [placement] to the upstream of [selection]. */
internal fun RoutingState.dispatch(
    placement: Placement,
    selection: Selection.Selected,
): Step<RoutingState, RoutingAction> {
    val id = selection.upstream.upstream.id
    val key = poolKeysOf(placement).first { it in selection.upstream.pools }
    val pool = pools.getValue(key).copy(cursor = selection.cursor)
    val next = copy(
        attempts = attempts.put(placement.attempt, id),
        pools = pools.put(key, pool),
    ).updateUpstream(id) { it.copy(inFlight = it.inFlight + 1) }
    return next
        .withActions<_, RoutingAction>(
            RoutingAction.Dispatch(placement, selection.upstream.upstream),
        )
        .then { it.withIsolation(placement, id) }
}

/** Gives up [placement] with the result [code]. */
internal fun RoutingState.unplaceable(
    placement: Placement,
    code: ResultCode,
): Step<RoutingState, RoutingAction> = Step(
    this,
    persistentListOf(RoutingAction.Unplaceable(placement.attempt, placement.request, code)),
)

/**
 * Adds [placement] to the queue of its pool.
 *
 * If the queue is then longer than its limit, its last placement is refused. A placement that must
 * run alone also makes an upstream drain.
 */
internal fun RoutingState.enqueue(
    placement: Placement,
    now: Duration,
): Step<RoutingState, RoutingAction> {
    val item = WaitingPlacement(placement, placement.request.deadline, ResultCode.DEADLINE_PASSED)
    val queued = enqueue(item, now)
    if (placement.isolation != Isolation.ALONE) return queued
    return queued.then { it.drainOneUpstream(poolKeysOf(placement).first(), now) }
}

/**
 * Handles a [placement] for which no upstream exists.
 *
 * A resumed one waits for an engine of its model to appear, for at most
 * [ServiceRouting.resumeWait]; a first attempt is refused at once.
 */
internal fun RoutingState.enqueueUnmatched(
    placement: Placement,
    now: Duration,
): Step<RoutingState, RoutingAction> {
    if (!placement.isResume) return unplaceable(placement, ResultCode.NO_UPSTREAM)
    val wait = routingOf(placement.request.service).resumeWait
    val expiresAt = minOf(placement.request.deadline, now + wait)
    return enqueue(WaitingPlacement(placement, expiresAt, ResultCode.NO_MATCHING_ENGINE), now)
}

private fun RoutingState.enqueue(
    item: WaitingPlacement,
    now: Duration,
): Step<RoutingState, RoutingAction> {
    val key = poolKeysOf(item.placement).first()
    val pool = pools[key] ?: Pool()
    val limit = routingOf(key.service).queueLimit
    val queue = pool.waiting.insert(item)
    if (item.expiresAt <= now) return unplaceable(item.placement, item.expiryCode)
    if (queue.size <= limit) return Step(withWaiting(key, pool, queue))
    val last = queue.last()
    return withWaiting(key, pool, queue.removeAt(queue.lastIndex))
        .unplaceable(last.placement, ResultCode.OVERLOADED)
}

private fun RoutingState.withWaiting(key: PoolKey, pool: Pool, queue: List<WaitingPlacement>) =
    copy(pools = pools.put(key, pool.copy(waiting = queue.toPersistentList())))

/** Returns this state without [attempt] in any queue. */
internal fun RoutingState.withoutWaiting(attempt: AttemptId): RoutingState {
    val (key, pool) = pools.entries
        .firstOrNull { (_, pool) -> pool.waiting.any { it.placement.attempt == attempt } }
        ?: return this
    return withWaiting(key, pool, pool.waiting.filter { it.placement.attempt != attempt })
}

/** Gives up all waiting placements that have expired by [now]. */
internal fun RoutingState.expireWaiting(now: Duration): Step<RoutingState, RoutingAction> =
    pools.entries.filter { it.value.waiting.isNotEmpty() }
        .fold(Step<RoutingState, RoutingAction>(this)) { step, (key, _) ->
            step.then { it.expireWaiting(key, now) }
        }

private fun RoutingState.expireWaiting(
    key: PoolKey,
    now: Duration,
): Step<RoutingState, RoutingAction> {
    val pool = pools.getValue(key)
    val (expired, remaining) = pool.waiting.partition { it.expiresAt <= now }
    if (expired.isEmpty()) return Step(this)
    val expirations = expired.map {
        RoutingAction.Unplaceable(it.placement.attempt, it.placement.request, it.expiryCode)
    }
    return Step(
        withWaiting(key, pool, remaining),
        persistentListOf<RoutingAction>().addAll(expirations),
    )
}

/**
 * Places waiting placements in queue order while there is room.
 *
 * @param upstream limits this to the queues of the pools of one upstream; null means all queues.
 */
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
        step = step.then { it.placeWaitingAt(key, index, now) }
        val isPlaced = step.state.pools.getValue(key).waiting.size < queue.size
        if (!isPlaced && item.placement.isolation != Isolation.ALONE) return step
        if (!isPlaced) index++
    }
}

private fun RoutingState.placeWaitingAt(
    key: PoolKey,
    index: Int,
    now: Duration,
): Step<RoutingState, RoutingAction> {
    val item = pools.getValue(key).waiting[index]
    val (selection, next) = search(item.placement, now)
    val pool = next.pools.getValue(key)
    val dequeued = next.withWaiting(key, pool, pool.waiting.removeAt(index))
    val isUnmatched = item.expiryCode == ResultCode.NO_MATCHING_ENGINE
    return when (selection) {
        is Selection.Selected -> dequeued.dispatch(item.placement, selection)
        Selection.Full -> if (isUnmatched) dequeued.enqueue(item.placement, now) else Step(next)
        Selection.Unmatched ->
            if (isUnmatched) Step(next) else dequeued.enqueueUnmatched(item.placement, now)
    }
}

/** Returns this state with one attempt in flight fewer. */
internal fun UpstreamState.withAttemptEnded(): UpstreamState {
    invariant("routing_in_flight", inFlight > 0) { "${upstream.id} has no attempt in flight" }
    return copy(inFlight = inFlight - 1)
}

/** Removes [id] if the configuration no longer declares it and its last attempt has ended. */
internal fun RoutingState.removeIfDrained(id: UpstreamId): RoutingState {
    val old = upstreams[id] ?: return this
    return if (old.isDeclared || old.inFlight > 0) this else copy(upstreams = upstreams.remove(id))
}

/**
 * Returns this state once the upstream of [event] is known to leave.
 *
 * An upstream that is not configured yet is remembered too, up to [MAX_LEAVING_UPSTREAMS], because
 * the event may arrive before the configuration that declares it.
 */
internal fun RoutingState.withUpstreamLeaving(event: RoutingEvent.UpstreamLeaving): RoutingState {
    val known = leavingIncarnations[event.upstream]
    val newest = maxOf(event.incarnation, known ?: event.incarnation)
    val isKnown = known != null || event.upstream in upstreams
    if (!isKnown && leavingIncarnations.size >= MAX_LEAVING_UPSTREAMS) return this
    return copy(leavingIncarnations = leavingIncarnations.put(event.upstream, newest))
        .updateUpstream(event.upstream) { it.withLeaving(newest) }
}

private const val MAX_LEAVING_UPSTREAMS = 4_096
