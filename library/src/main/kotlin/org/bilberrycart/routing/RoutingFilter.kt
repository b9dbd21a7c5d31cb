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
 * Places each attempt on an upstream that can do its work, and counts what is in flight.
 *
 * An attempt that finds upstreams without room waits; it ends in exactly one
 * [RoutingAction.Dispatch] or [RoutingAction.Unplaceable] unless it is withdrawn.
 */
public class RoutingFilter : Filter<RoutingState, RoutingEvent, RoutingAction> {
    override fun step(
        state: RoutingState,
        event: RoutingEvent,
        now: Duration,
    ): Step<RoutingState, RoutingAction> = when (event) {
        is RoutingEvent.Place -> place(state, event.placement, now)
        is RoutingEvent.Withdraw -> Step(state.withdrawn(event.attempt))
        is RoutingEvent.AttemptEnded -> attemptEnded(state, event, now)
        is RoutingEvent.LoadReported -> loadReported(state, event, now)
        is RoutingEvent.Configured -> placeWaiting(state.configured(event), null, now)
        is RoutingEvent.Leaving -> Step(state.leaving(event))
        is RoutingEvent.NodesChanged -> Step(state.divided(event))
        is RoutingEvent.Closed -> Step(state.closed(event, now))
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
        if (!state.mayRetry(placement)) {
            return state.unplaceable(placement, ResultCode.RETRIES_EXHAUSTED)
        }
        val (choice, next) = state.countedRetry(placement).search(placement, now)
        return when (choice) {
            is Choice.Chosen -> next.dispatch(placement, choice)
            Choice.Full -> next.enqueue(placement, now)
            Choice.Unmatched -> next.unmatched(placement, now)
        }
    }

    private fun attemptEnded(
        state: RoutingState,
        event: RoutingEvent.AttemptEnded,
        now: Duration,
    ): Step<RoutingState, RoutingAction> {
        val place = state.attempts[event.attempt]
        invariant("routing_ends_once", place == event.upstream) {
            "${event.attempt} ended on ${event.upstream}, but is in flight on $place"
        }
        val freed = state
            .copy(attempts = state.attempts.remove(event.attempt))
            .endIsolation(event.attempt, event.upstream)
            .update(event.upstream) { it.released() }
            .judged(event.upstream, event.outcome, now)
            .forgetDrained(event.upstream)
        return placeWaiting(freed, event.upstream, now)
    }

    private fun loadReported(
        state: RoutingState,
        event: RoutingEvent.LoadReported,
        now: Duration,
    ): Step<RoutingState, RoutingAction> {
        val next = state.update(event.upstream) { it.reported(event.load, now) }
        return placeWaiting(next, event.upstream, now)
    }

    private fun tick(state: RoutingState, now: Duration): Step<RoutingState, RoutingAction> =
        state.expired(now)
            .then { placeWaiting(it, null, now) }
            .then { it.drainWhereNeeded(now) }
            .then { it.reportCapacity(now) }
}

private val CAPACITY_INTERVAL = 250.milliseconds

/** Looks for an upstream, in the other lane too if its own has no upstream at all. */
internal fun RoutingState.search(placement: Placement, now: Duration): Pair<Choice, RoutingState> {
    val random = Random(seed)
    val choice = keysOf(placement).firstNotNullOfOrNull { key ->
        pools[key]
            ?.let { Chooser(this, it, placement, now, random).choose() }
            ?.takeIf { it != Choice.Unmatched }
    }
    return (choice ?: Choice.Unmatched) to copy(seed = random.nextLong())
}

private fun RoutingState.reportCapacity(now: Duration): Step<RoutingState, RoutingAction> {
    if (now - reportedAt < CAPACITY_INTERVAL) return Step(this)
    val serving = upstreams.values.filter { it.isServing && !it.isEjected(now) }
    val reports = services.keys.map { service ->
        val members = serving.filter { service in it.upstream.services }
        RoutingAction.ReportCapacity(
            service,
            slots = members.sumOf { it.upstream.slots },
            others = members.sumOf { it.others },
        )
    }
    return Step(copy(reportedAt = now), persistentListOf<RoutingAction>().addAll(reports))
}
