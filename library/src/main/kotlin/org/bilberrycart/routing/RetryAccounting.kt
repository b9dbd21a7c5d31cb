package org.bilberrycart.routing

import org.bilberrycart.model.Placement

/** Whether the attempt repeats an earlier attempt of this node that was lost. */
internal val Placement.isRetry: Boolean
    get() = attempt.number > 1

/**
 * Returns whether the retry budget allows [placement].
 *
 * A first attempt is always allowed, and so is a generation of which the caller already has a part,
 * since refusing it would cut the answer short. The journal limits how many engines one generation
 * may lose.
 */
internal fun RoutingState.isWithinRetryBudget(placement: Placement): Boolean {
    val pool = pools[poolKeysOf(placement).first()] ?: return true
    return !placement.isRetry || placement.prefix.isNotEmpty() || pool.retryBudget >= 1
}

/** Returns this state with the retry budget reduced by a retry, or raised by a first attempt. */
internal fun RoutingState.withRetryCounted(placement: Placement): RoutingState {
    val key = poolKeysOf(placement).first()
    val pool = pools[key] ?: return this
    val share = routingOf(key.service).retryShare
    val counted = if (placement.isRetry) pool.withRetrySpent() else pool.withRetryEarned(share)
    return copy(pools = pools.put(key, counted))
}
