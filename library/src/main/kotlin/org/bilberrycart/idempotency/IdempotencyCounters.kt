package org.bilberrycart.idempotency

/**
 * Counters of the idempotency duty since its start.
 *
 * @property arrived calls that came in.
 * @property dispatched attempts given to routing.
 * @property done answers of services passed on.
 * @property replayed stored answers given to repeats.
 * @property notRun calls refused as certainly not run.
 * @property unknown calls whose outcome is unknown.
 * @property unstored outcomes that could not be stored within the time for it.
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
