package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import org.bilberrycart.gateway.model.ServiceName

/** Applies the [RetryBudget] of each service to calls and counts their dispatches in it. */
internal class RetryBudgets(private val settings: PlacementSettings) {
    /** Whether the budget allows another attempt of [call]; a first attempt needs no budget. */
    fun allows(state: PlacementState, call: ActiveCall, now: Duration): Boolean {
        val service = call.call.service.name
        val inForce = state.inForce(budget(state, service), now)
        return call.possibleArrivals == 0 ||
            inForce.allows(now, fleet(state, service, now), settings.retrySlack)
    }

    /** Counts [attempt] of [call], as it was before, in the budget of its service. */
    fun count(
        state: PlacementState,
        call: ActiveCall,
        attempt: Attempt,
        now: Duration,
    ): PlacementState {
        val service = call.call.service.name
        val before = budget(state, service)
        val counted = when {
            attempt.isRetry -> before.withDispatches(now, retries = 1)
            call.dispatches == 0 -> before.withDispatches(now, firstDispatches = 1)
            else -> before
        }
        return state.copy(budgets = state.budgets.put(service, counted))
    }

    /** Takes [attempt], which was never sent, out of the budget if it was a retry. */
    fun refund(state: PlacementState, call: ActiveCall, attempt: Attempt): PlacementState {
        if (!attempt.isRetry) return state
        val service = call.call.service.name
        val counted = budget(state, service).withoutRetry(attempt.sentAt)
        return state.copy(budgets = state.budgets.put(service, counted))
    }

    /** Describes why the budget allows [call] no further attempt. */
    fun describe(state: PlacementState, call: ActiveCall, now: Duration): String {
        val service = call.call.service.name
        val own = state.inForce(budget(state, service), now).use(now)
        val fleet = fleet(state, service, now)
        return "repeat budget is used up: own ${own.retries} for ${own.firstDispatches} calls, " +
            "others ${fleet.peers.retries} for ${fleet.peers.firstDispatches}, " +
            "heard ${fleet.heardNodes} of ${fleet.nodes} nodes"
    }

    private fun fleet(state: PlacementState, service: ServiceName, now: Duration): FleetRetries =
        state.fleetRetries(
            service,
            isStarting = now - state.startedAt < settings.retryWindow,
            now,
        )

    private fun budget(state: PlacementState, service: ServiceName): RetryBudget =
        state.budgets[service] ?: RetryBudget(
            window = settings.retryWindow,
            ratio = settings.retryRatio,
        )
}
