package org.bilberrycart.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.Isolation
import org.bilberrycart.model.Placement
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then
import org.bilberrycart.pipeline.withActions

/** Returns this state once the attempt of [placement], if it is isolated, runs on [id]. */
internal fun RoutingState.isolate(
    placement: Placement,
    id: UpstreamId,
): Step<RoutingState, RoutingAction> {
    if (placement.isolation == Isolation.NONE) return Step(this)
    val isAlone = placement.isolation == Isolation.ALONE
    val next = copy(isolated = isolated.put(placement.attempt, placement.isolation)).update(id) {
        val closedUntil = if (isAlone) Duration.INFINITE else it.closedUntil
        it.copy(
            suspects = it.suspects + 1,
            closedUntil = closedUntil,
            isClosedByOther = it.isClosedByOther && !isAlone,
        )
    }
    if (!isAlone) return Step(next)
    return next.withActions(RoutingAction.AnnounceClosed(id, CLOSED_LIFETIME))
}

/** Returns this state once [attempt], if it was isolated, is over on [id]. */
internal fun RoutingState.endIsolation(attempt: AttemptId, id: UpstreamId): RoutingState {
    val isolation = isolated[attempt] ?: return this
    val isAlone = isolation == Isolation.ALONE
    return copy(isolated = isolated.remove(attempt)).update(id) {
        it.copy(
            suspects = it.suspects - 1,
            closedUntil = if (isAlone) null else it.closedUntil,
        )
    }
}

/**
 * Closes an upstream of the pool [key], so that it drains for work that has to run alone.
 *
 * One at a time is drained, and none in a pool of one, which other work needs.
 */
internal fun RoutingState.drainOne(
    key: PoolKey,
    now: Duration,
): Step<RoutingState, RoutingAction> {
    val pool = pools[key] ?: return Step(this)
    val members = (0 until pool.size)
        .map { upstreams.getValue(pool[it]) }
        .filter { it.isServing && !(it.isClosed(now) && it.isClosedByOther) }
    val isDraining = members.any { it.isClosed(now) && !it.isClosedByOther }
    if (members.size < 2 || isDraining) return Step(this)
    val near = members.filter { it.upstream.id in pool.home }.ifEmpty { members }
    val id = near.minBy { it.load }.upstream.id
    val next = update(id) {
        it.copy(closedUntil = now + CLOSED_LIFETIME, isClosedByOther = false)
    }
    return Step(next, persistentListOf(RoutingAction.AnnounceClosed(id, CLOSED_LIFETIME)))
}

/** Closes an upstream of each pool in which work waits that has to run alone. */
internal fun RoutingState.drainWhereNeeded(now: Duration): Step<RoutingState, RoutingAction> =
    pools.entries
        .filter { (_, pool) -> pool.waiting.any { it.placement.isolation == Isolation.ALONE } }
        .fold(Step(this)) { step, (key, _) -> step.then { it.drainOne(key, now) } }

/** Returns this state once another node has closed the upstream of [event]. */
internal fun RoutingState.closed(event: RoutingEvent.Closed, now: Duration): RoutingState =
    update(event.upstream) {
        val known = it.closedUntil ?: Duration.ZERO
        it.copy(closedUntil = maxOf(known, now + event.lifetime), isClosedByOther = true)
    }

private val CLOSED_LIFETIME = 30.seconds
