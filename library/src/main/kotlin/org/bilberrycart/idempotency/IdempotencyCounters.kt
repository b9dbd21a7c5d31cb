package org.bilberrycart.idempotency

/**
 * Counters of the idempotency duty since its start.
 *
 * @property arrived calls received.
 * @property dispatched attempts passed to routing.
 * @property done answers of services passed to callers.
 * @property replayed stored answers given to repeats.
 * @property notRun calls answered as certainly not run.
 * @property unknown calls answered with an unknown outcome.
 * @property unstored outcomes that could not be stored within [IdempotencyLimits.storeWindow].
 */
public data class IdempotencyCounters(
    val arrived: Long = 0,
    val dispatched: Long = 0,
    val done: Long = 0,
    val replayed: Long = 0,
    val notRun: Long = 0,
    val unknown: Long = 0,
    val unstored: Long = 0,
)
