package org.bilberrycart.store

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Refuses calls to a store that keeps failing, and lets single calls through as probes.
 *
 * Three failures in a row open the breaker. Each failed probe doubles the time until the next one,
 * up to two seconds.
 */
public sealed class CircuitBreaker {
    /** All calls go through; the last [consecutiveFailures] calls failed. */
    public data class Closed(val consecutiveFailures: Int = 0) : CircuitBreaker()

    /**
     * No call goes through before [until].
     *
     * @property openings how often the breaker opened since the last success.
     */
    public data class Open(val until: Duration, val openings: Int) : CircuitBreaker()

    /**
     * A probe was sent at [since]; other calls are refused until it is answered or times out.
     *
     * @property openings how often the breaker opened since the last success.
     */
    public data class HalfOpen(val since: Duration, val openings: Int) : CircuitBreaker()

    /** Whether a call may go through at [now]. */
    public fun allows(now: Duration): Boolean = when (this) {
        is Closed -> true
        is Open -> now >= until
        is HalfOpen -> now >= since + PROBE_TIMEOUT
    }

    /** Returns the breaker after a call that [allows] let through was sent at [now]. */
    public fun sent(now: Duration): CircuitBreaker = when (this) {
        is Closed -> this
        is Open -> HalfOpen(now, openings)
        is HalfOpen -> copy(since = now)
    }

    /** Returns the breaker after a failure at [now]; [jitter], from 0 to 1, varies the wait. */
    public fun failed(now: Duration, jitter: Double): CircuitBreaker = when (this) {
        is Closed -> when {
            consecutiveFailures + 1 < FAILURES_TO_OPEN -> Closed(consecutiveFailures + 1)
            else -> opened(now, openings = 1, jitter)
        }
        is Open -> this
        is HalfOpen -> opened(now, openings + 1, jitter)
    }

    /** Returns the breaker after a success. */
    public fun succeeded(): CircuitBreaker = Closed()

    private fun opened(now: Duration, openings: Int, jitter: Double): Open {
        val doublings = minOf(openings - 1, MAX_DOUBLINGS)
        val openTime = BASE_OPEN_TIME * (1 shl doublings)
        return Open(now + openTime * (1 + jitter) / 2, openings)
    }

    private companion object {
        const val FAILURES_TO_OPEN = 3
        const val MAX_DOUBLINGS = 2
        val BASE_OPEN_TIME = 500.milliseconds
        val PROBE_TIMEOUT = 2.seconds
    }
}
