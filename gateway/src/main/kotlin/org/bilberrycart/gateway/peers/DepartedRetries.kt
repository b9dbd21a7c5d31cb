package org.bilberrycart.gateway.peers

import kotlin.time.Duration
import org.bilberrycart.gateway.model.RetryUse

/**
 * The [retries] that a peer reported when it was last heard at [lastSeenAt]; they count against the
 * budget [until] some time after it was missed.
 */
public data class DepartedRetries(
    val retries: Map<String, RetryUse>,
    val lastSeenAt: Duration,
    val until: Duration,
) {
    /**
     * Returns what still counts at [now] of a report that covers [window].
     *
     * The retries may all be recent, so they count in full. The first dispatches leave the window
     * evenly after the report, since a request must not allow retries for longer than the window.
     */
    internal fun at(now: Duration, window: Duration): Map<String, RetryUse> {
        val left = ((lastSeenAt + window - now) / window).coerceIn(0.0, 1.0)
        return retries.mapValues { (_, use) ->
            use.copy(firstDispatches = (use.firstDispatches * left).toInt())
        }
    }
}
