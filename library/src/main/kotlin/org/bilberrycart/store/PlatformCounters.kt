package org.bilberrycart.store

/**
 * Counters of the platform duty since its start.
 *
 * @property transactions transactions sent.
 * @property groups write groups sent, retries included.
 * @property reads reads and scans sent, retries included.
 * @property retries retries of calls.
 * @property failures requests that failed.
 * @property unavailable calls that ended as [StoreResult.Unavailable].
 * @property unknown calls that ended as [StoreResult.UnknownOutcome].
 */
public data class PlatformCounters(
    val transactions: Long = 0,
    val groups: Long = 0,
    val reads: Long = 0,
    val retries: Long = 0,
    val failures: Long = 0,
    val unavailable: Long = 0,
    val unknown: Long = 0,
)
