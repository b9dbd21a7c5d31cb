package org.bilberrycart.gateway.node

import kotlin.time.Duration
import org.bilberrycart.gateway.metrics.ServiceRetryUse
import org.bilberrycart.gateway.model.RetryUse
import org.bilberrycart.gateway.placement.PlacementState

/** Tells the metrics how much of the retry budgets is used. */
internal object RetryUses {
    /** Returns the use of each service's budget at [now], of this node and of its peers. */
    fun of(state: PlacementState, now: Duration): List<ServiceRetryUse> {
        val own = state.retryUses(now)
        return (own.keys + state.peerRetries.keys).map { service ->
            ServiceRetryUse(
                service.value,
                own = own[service] ?: RetryUse(),
                peers = state.peerRetries[service] ?: RetryUse(),
            )
        }
    }
}
