package org.bilberrycart.store

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * An immutable token bucket that limits the rate of calls to the store.
 *
 * @property perSecond the number of tokens added each second.
 * @property burst the largest number of tokens that can be held.
 */
public data class StoreRateLimiter(
    val perSecond: Double,
    val burst: Double,
    private val tokens: Double = burst,
    private val refilledAt: Duration = Duration.ZERO,
) {
    init {
        require(perSecond > 0 && burst >= 1) { "invalid rate: $perSecond/s, burst $burst" }
    }

    /** Returns the limiter after a call at [now] took one token, or null if none is left. */
    public fun take(now: Duration): StoreRateLimiter? {
        val refilled = refill(now)
        return if (refilled.tokens < 1) null else refilled.copy(tokens = refilled.tokens - 1)
    }

    private fun refill(now: Duration): StoreRateLimiter {
        val gained = (now - refilledAt).coerceAtLeast(Duration.ZERO) / 1.seconds * perSecond
        return copy(tokens = minOf(burst, tokens + gained), refilledAt = maxOf(now, refilledAt))
    }
}
