package org.bilberrycart.idempotency

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The limits of the idempotency duty.
 *
 * @property calls the most calls in progress at once; more are refused as not run.
 * @property attempts the most dispatches of one call.
 * @property backoff the delay before the second attempt, which doubles for each further one, and
 *   before a store call is repeated; both are varied at random.
 * @property dispatchGrace how long after its deadline a call waits for a result from dispatch.
 * @property closeGrace how long after its deadline an unsent call may take to close its record.
 * @property lateAnswerWindow how long after the deadline of a call that may run at most once its
 *   answer is still awaited, to be stored for repeats.
 * @property storeWindow how long the node tries to store an outcome.
 * @property sightings how many pending records of other owners are remembered at once.
 */
public data class IdempotencyLimits(
    val calls: Int = 4_000,
    val attempts: Int = 4,
    val backoff: Duration = 50.milliseconds,
    val dispatchGrace: Duration = 250.milliseconds,
    val closeGrace: Duration = 2.seconds,
    val lateAnswerWindow: Duration = 30.seconds,
    val storeWindow: Duration = 60.seconds,
    val sightings: Int = 4_000,
)
