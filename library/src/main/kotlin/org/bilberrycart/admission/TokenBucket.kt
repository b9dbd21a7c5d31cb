package org.bilberrycart.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * What is left of an allowance that refills with time; it may be overdrawn.
 *
 * @property level the allowance at the time [at].
 */
public data class TokenBucket(val level: Double, val at: Duration) {
    /** Returns this bucket at [now], refilled by [perSecond] up to [burst]. */
    public fun refilled(perSecond: Double, burst: Double, now: Duration): TokenBucket {
        val gained = perSecond * (now - at).toDouble(DurationUnit.SECONDS)
        return TokenBucket(minOf(burst, level + gained), now)
    }

    /** Returns this bucket with [amount] taken out. */
    public fun spent(amount: Double): TokenBucket = copy(level = level - amount)

    /** Returns how long it takes until [amount] is there at [perSecond]. */
    public fun waitFor(amount: Double, perSecond: Double): Duration = when {
        level >= amount -> Duration.ZERO
        perSecond <= 0 -> Duration.INFINITE
        else -> ((amount - level) / perSecond).seconds
    }
}
