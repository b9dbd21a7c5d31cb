package org.bilberrycart.idempotency

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The limits of the idempotency duty.
 *
 * @property calls calls held at once; more are refused as not run.
 * @property attempts dispatches of one call.
 * @property backoff the wait before the second attempt; it doubles with each further one.
 * @property settleGrace how long after its deadline a call waits for word from dispatch.
 * @property closeGrace how long after its deadline an unsent call may take to close its record.
 * @property lateWindow how long after its deadline an answer is still awaited for repeats.
 * @property storeWindow how long an outcome is tried to be stored.
 * @property sightings pending records of other owners remembered at once.
 */
public data class IdempotencyLimits(
    val calls: Int = 4_000,
    val attempts: Int = 4,
    val backoff: Duration = 50.milliseconds,
    val settleGrace: Duration = 250.milliseconds,
    val closeGrace: Duration = 2.seconds,
    val lateWindow: Duration = 30.seconds,
    val storeWindow: Duration = 60.seconds,
    val sightings: Int = 4_000,
)
