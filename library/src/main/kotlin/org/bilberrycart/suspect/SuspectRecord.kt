package org.bilberrycart.suspect

import kotlin.time.Duration

/**
 * The crashes of upstreams while one request was running there.
 *
 * @property crashes the number of crashes.
 * @property gossipedCrashes the number of crashes that the other nodes know of.
 * @property changedAt when the last crash was counted.
 * @property expiresAt when the record is removed.
 */
public data class SuspectRecord(
    val crashes: Int,
    val gossipedCrashes: Int,
    val changedAt: Duration,
    val expiresAt: Duration,
)
