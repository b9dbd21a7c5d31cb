package org.bilberrycart.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * An allowance that refills over time and may be overdrawn.
 *
 * @property level the allowance that is left at the time [updatedAt]; negative if overdrawn.
 * @property updatedAt when the bucket was last refilled.
 */
public data class TokenBucket(val level: Double, val updatedAt: Duration) {
    /** Returns this bucket refilled up to [now] at the rate [perSecond], to at most [burst]. */
    public fun withRefill(perSecond: Double, burst: Double, now: Duration): TokenBucket {
        val gained = perSecond * (now - updatedAt).toDouble(DurationUnit.SECONDS)
        return TokenBucket(minOf(burst, level + gained), now)
    }

    /** Returns this bucket with [amount] taken out, even if less is left. */
    public fun withSpent(amount: Double): TokenBucket = copy(level = level - amount)

    /** Returns how long it takes until [amount] is available at the refill rate [perSecond]. */
    public fun waitFor(amount: Double, perSecond: Double): Duration = when {
        level >= amount -> Duration.ZERO
        perSecond <= 0 -> Duration.INFINITE
        else -> ((amount - level) / perSecond).seconds
    }
}
