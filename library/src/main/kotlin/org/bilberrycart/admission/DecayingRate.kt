package org.bilberrycart.admission

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * An exponentially decaying average of events per second.
 *
 * @property perSecond the rate at the time [updatedAt].
 * @property updatedAt when events were last added.
 */
public data class DecayingRate(
    val perSecond: Double = 0.0,
    val updatedAt: Duration = Duration.ZERO,
) {
    /** Returns the rate at [now], without new events since [updatedAt]. */
    public fun at(now: Duration): Double = perSecond * exp(-((now - updatedAt) / TIME_CONSTANT))

    /** Returns this rate with [count] events added at [now]. */
    public fun withEvents(count: Double, now: Duration): DecayingRate =
        DecayingRate(at(now) + count / TIME_CONSTANT.toDouble(DurationUnit.SECONDS), now)

    private companion object {
        /** The time in which the rate falls to 1/e without new events. */
        val TIME_CONSTANT = 30.seconds
    }
}
