package org.bilberrycart.routing

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.model.Placement
import org.bilberrycart.model.ResultCode
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.invariant
import org.bilberrycart.pipeline.then

/**
 * Assigns each attempt to an upstream that can run it, and counts the attempts in flight.
 *
 * An attempt waits while no matching upstream has room. Each [RoutingEvent.Place] leads to exactly
 * one [RoutingAction.Dispatch] or [RoutingAction.Unplaceable], unless the attempt is withdrawn.
 */
public class RoutingFilter : Filter<RoutingState, RoutingEvent, RoutingAction> {
    override fun step(
        state: RoutingState,
        event: RoutingEvent,
        now: Duration,
    ): Step<RoutingState, RoutingAction> = when (event) {
        is RoutingEvent.Place -> place(state, event.placement, now)
        is RoutingEvent.Withdraw -> Step(state.withoutWaiting(event.attempt))
        is RoutingEvent.AttemptEnded -> attemptEnded(state, event, now)
        is RoutingEvent.LoadReported -> loadReported(state, event, now)
        is RoutingEvent.Configured -> placeWaiting(state.withConfiguration(event), null, now)
        is RoutingEvent.UpstreamLeaving -> Step(state.withUpstreamLeaving(event))
        is RoutingEvent.NodesChanged -> Step(state.withNodePosition(event))
        is RoutingEvent.UpstreamClosed -> Step(state.withUpstreamClosed(event, now))
        RoutingEvent.Tick -> tick(state, now)
    }

    private fun place(
        state: RoutingState,
        placement: Placement,
        now: Duration,
    ): Step<RoutingState, RoutingAction> {
        invariant("routing_placed_once", placement.attempt !in state.attempts) {
            "${placement.attempt} is in flight already"
        }
        if (placement.request.deadline <= now) {
            return state.unplaceable(placement, ResultCode.DEADLINE_PASSED)
        }
        if (!state.isWithinRetryBudget(placement)) {
            return state.unplaceable(placement, ResultCode.RETRIES_EXHAUSTED)
        }
        val (selection, next) = state.withRetryCounted(placement).search(placement, now)
        return when (selection) {
            is Selection.Selected -> next.dispatch(placement, selection)
            Selection.Full -> next.enqueue(placement, now)
            Selection.Unmatched -> next.enqueueUnmatched(placement, now)
        }
    }

    private fun attemptEnded(
        state: RoutingState,
        event: RoutingEvent.AttemptEnded,
        now: Duration,
    ): Step<RoutingState, RoutingAction> {
        val dispatchedTo = state.attempts[event.attempt]
        invariant("routing_ends_once", dispatchedTo == event.upstream) {
            "${event.attempt} ended on ${event.upstream}, but is in flight on $dispatchedTo"
        }
        val freed = state
            .copy(attempts = state.attempts.remove(event.attempt))
            .withoutIsolation(event.attempt, event.upstream)
            .updateUpstream(event.upstream) { it.withAttemptEnded() }
            .withOutcome(event.upstream, event.outcome, now)
            .removeIfDrained(event.upstream)
        return placeWaiting(freed, event.upstream, now)
    }

    private fun loadReported(
        state: RoutingState,
        event: RoutingEvent.LoadReported,
        now: Duration,
    ): Step<RoutingState, RoutingAction> {
        val next = state.updateUpstream(event.upstream) { it.withLoadReport(event.load, now) }
        return placeWaiting(next, event.upstream, now)
    }

    private fun tick(state: RoutingState, now: Duration): Step<RoutingState, RoutingAction> =
        state.expireWaiting(now)
            .then { placeWaiting(it, null, now) }
            .then { it.drainWhereNeeded(now) }
            .then { it.reportCapacity(now) }
}

/** How often the capacity of each service is reported to admission, at most. */
private val CAPACITY_REPORT_INTERVAL = 250.milliseconds

/**
 * Searches an upstream for [placement], in the other lane too if its own has no upstream at all.
 *
 * Returns the result and the state with the next random seed.
 */
internal fun RoutingState.search(
    placement: Placement,
    now: Duration,
): Pair<Selection, RoutingState> {
    val random = Random(seed)
    val selection = poolKeysOf(placement).firstNotNullOfOrNull { key ->
        pools[key]
            ?.let { UpstreamSelector(this, it, placement, now, random).select() }
            ?.takeIf { it != Selection.Unmatched }
    }
    return (selection ?: Selection.Unmatched) to copy(seed = random.nextLong())
}

private fun RoutingState.reportCapacity(now: Duration): Step<RoutingState, RoutingAction> {
    if (now - capacityReportedAt < CAPACITY_REPORT_INTERVAL) return Step(this)
    val serving = upstreams.values.filter { it.isServing && !it.isEjected(now) }
    val reports = services.keys.map { service ->
        val members = serving.filter { service in it.upstream.services }
        RoutingAction.ReportCapacity(
            service,
            slots = members.sumOf { it.upstream.slots },
            usedByOthers = members.sumOf { it.otherNodesLoad },
        )
    }
    return Step(copy(capacityReportedAt = now), persistentListOf<RoutingAction>().addAll(reports))
}
