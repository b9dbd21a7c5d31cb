package org.bilberrycart.admission

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * A rate of events a second that forgets exponentially.
 *
 * @property perSecond the rate at the time [at].
 */
public data class DecayingRate(val perSecond: Double = 0.0, val at: Duration = Duration.ZERO) {
    /** Returns the rate at [now]. */
    public fun at(now: Duration): Double = perSecond * exp(-((now - at) / HORIZON))

    /** Returns this rate after [count] events at [now]. */
    public fun plus(count: Double, now: Duration): DecayingRate =
        DecayingRate(at(now) + count / HORIZON.toDouble(DurationUnit.SECONDS), now)

    private companion object {
        val HORIZON = 30.seconds
    }
}
