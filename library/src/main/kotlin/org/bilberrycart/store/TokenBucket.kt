package org.bilberrycart.store

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * A rate limit as an immutable value.
 *
 * @property perSecond tokens that come back each second.
 * @property burst the largest number of tokens held.
 */
public data class TokenBucket(
    val perSecond: Double,
    val burst: Double,
    private val tokens: Double = burst,
    private val filledAt: Duration = Duration.ZERO,
) {
    init {
        require(perSecond > 0 && burst >= 1) { "no such rate: $perSecond/s, burst $burst" }
    }

    /** Returns this bucket without one token, or null if it holds none at [now]. */
    public fun take(now: Duration): TokenBucket? {
        val filled = filledAt(now)
        return if (filled.tokens < 1) null else filled.copy(tokens = filled.tokens - 1)
    }

    private fun filledAt(now: Duration): TokenBucket {
        val gained = (now - filledAt).coerceAtLeast(Duration.ZERO) / 1.seconds * perSecond
        return copy(tokens = minOf(burst, tokens + gained), filledAt = maxOf(now, filledAt))
    }
}
