package org.bilberrycart.routing

import org.bilberrycart.model.Placement

/** Whether the placement is sent because an earlier attempt of this node was lost. */
internal val Placement.isRetry: Boolean
    get() = attempt.number > 1

/**
 * Returns whether the retry budget lets [placement] pass.
 *
 * A first attempt always passes, and so does a generation whose caller has part of it: refusing
 * that would cut an answer. The journal bounds how many engines one generation may lose.
 */
internal fun RoutingState.mayRetry(placement: Placement): Boolean {
    val pool = pools[keysOf(placement).first()] ?: return true
    return !placement.isRetry || placement.prefix.isNotEmpty() || pool.retryBudget >= 1
}

/** Returns this state after a retry has spent, or a first attempt has earned, its part. */
internal fun RoutingState.countedRetry(placement: Placement): RoutingState {
    val key = keysOf(placement).first()
    val pool = pools[key] ?: return this
    val share = routingOf(key.service).retryShare
    val counted = if (placement.isRetry) pool.spendRetry() else pool.earnRetry(share)
    return copy(pools = pools.put(key, counted))
}
