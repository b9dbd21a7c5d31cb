package org.bilberrycart.store

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Refuses calls to a store that keeps failing, and lets one through now and then to probe it. */
public sealed class CircuitBreaker {
    /** Calls go through; [failures] failed in a row. */
    public data class Closed(val failures: Int = 0) : CircuitBreaker()

    /** No call goes through before [until]; [openings] counts the openings without a success. */
    public data class Open(val until: Duration, val openings: Int) : CircuitBreaker()

    /** One probe is on its way since [since]; the rest is refused. */
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

    /** Returns the breaker after a failure at [now]; [spread], from 0 to 1, adds jitter. */
    public fun failed(now: Duration, spread: Double): CircuitBreaker = when (this) {
        is Closed -> when {
            failures + 1 < FAILURES_TO_OPEN -> Closed(failures + 1)
            else -> opened(now, openings = 1, spread)
        }
        is Open -> this
        is HalfOpen -> opened(now, openings + 1, spread)
    }

    /** Returns the breaker after a success. */
    public fun succeeded(): CircuitBreaker = Closed()

    private fun opened(now: Duration, openings: Int, spread: Double): Open {
        val doublings = minOf(openings - 1, MAX_DOUBLINGS)
        val wait = BASE_OPEN * (1 shl doublings)
        return Open(now + wait * (1 + spread) / 2, openings)
    }

    private companion object {
        const val FAILURES_TO_OPEN = 3
        const val MAX_DOUBLINGS = 2
        val BASE_OPEN = 500.milliseconds
        val PROBE_TIMEOUT = 2.seconds
    }
}
