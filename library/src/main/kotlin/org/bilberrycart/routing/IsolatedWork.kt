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

/** Returns this state after the dispatch of [placement] to [id], closed if it runs alone there. */
internal fun RoutingState.withIsolation(
    placement: Placement,
    id: UpstreamId,
): Step<RoutingState, RoutingAction> {
    if (placement.isolation == Isolation.NONE) return Step(this)
    val isAlone = placement.isolation == Isolation.ALONE
    val next = copy(
        isolatedAttempts = isolatedAttempts.put(placement.attempt, placement.isolation),
    ).updateUpstream(id) {
        val closedUntil = if (isAlone) Duration.INFINITE else it.closedUntil
        it.copy(
            suspectAttempts = it.suspectAttempts + 1,
            closedUntil = closedUntil,
            isClosedByOther = it.isClosedByOther && !isAlone,
        )
    }
    if (!isAlone) return Step(next)
    return next.withActions(RoutingAction.AnnounceClosed(id, CLOSED_LIFETIME))
}

/** Returns this state after [attempt], which may have been isolated, ended on [id]. */
internal fun RoutingState.withoutIsolation(attempt: AttemptId, id: UpstreamId): RoutingState {
    val isolation = isolatedAttempts[attempt] ?: return this
    val isAlone = isolation == Isolation.ALONE
    return copy(isolatedAttempts = isolatedAttempts.remove(attempt)).updateUpstream(id) {
        it.copy(
            suspectAttempts = it.suspectAttempts - 1,
            closedUntil = if (isAlone) null else it.closedUntil,
        )
    }
}

/**
 * Closes the least loaded upstream of the pool [key], to drain it for work that must run alone.
 *
 * This node drains one upstream of a pool at a time, and none if the pool has only one, which other
 * work needs.
 */
internal fun RoutingState.drainOneUpstream(
    key: PoolKey,
    now: Duration,
): Step<RoutingState, RoutingAction> {
    val pool = pools[key] ?: return Step(this)
    val members = (0 until pool.size)
        .map { upstreams.getValue(pool[it]) }
        .filter { it.isServing && !(it.isClosed(now) && it.isClosedByOther) }
    val isDraining = members.any { it.isClosed(now) && !it.isClosedByOther }
    if (members.size < 2 || isDraining) return Step(this)
    val candidates = members.filter { it.upstream.id in pool.preferred }.ifEmpty { members }
    val id = candidates.minBy { it.load }.upstream.id
    val next = updateUpstream(id) {
        it.copy(closedUntil = now + CLOSED_LIFETIME, isClosedByOther = false)
    }
    return Step(next, persistentListOf(RoutingAction.AnnounceClosed(id, CLOSED_LIFETIME)))
}

/** Drains an upstream of each pool in which work that must run alone waits. */
internal fun RoutingState.drainWhereNeeded(now: Duration): Step<RoutingState, RoutingAction> =
    pools.entries
        .filter { (_, pool) -> pool.waiting.any { it.placement.isolation == Isolation.ALONE } }
        .fold(Step(this)) { step, (key, _) -> step.then { it.drainOneUpstream(key, now) } }

/** Returns this state after another node closed the upstream of [event]. */
internal fun RoutingState.withUpstreamClosed(
    event: RoutingEvent.UpstreamClosed,
    now: Duration,
): RoutingState = updateUpstream(event.upstream) {
    val known = it.closedUntil ?: Duration.ZERO
    it.copy(closedUntil = maxOf(known, now + event.lifetime), isClosedByOther = true)
}

/** How long an upstream that drains stays closed, and for how long other nodes are told so. */
private val CLOSED_LIFETIME = 30.seconds
