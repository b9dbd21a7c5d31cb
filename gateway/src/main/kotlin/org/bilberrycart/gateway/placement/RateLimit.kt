package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * The rate limit that an upstream named in its last answer, and this node's use of its [RateQuota].
 *
 * @property perSecond the requests a second that the upstream takes from all nodes together.
 * @property saved the unused requests of this node's quota as of [savedAt].
 * @property lastSentAt when this node last sent a request under the limit; at first, from when on
 *   the interval of its trials is counted.
 */
public data class RateLimit(
    val perSecond: Double,
    val savedAt: Duration,
    val saved: Double = 0.0,
    val lastSentAt: Duration = savedAt,
) {
    /** Returns how long after [now] [quota] allows this node's next request. */
    internal fun waitTime(quota: RateQuota, now: Duration): Duration {
        val missing = 1.0 - savedUntil(quota, now)
        return when {
            quota.perSecond == 0.0 ->
                (lastSentAt + quota.trialInterval - now).coerceAtLeast(ZERO)
            missing <= ROUNDING_ERROR -> ZERO
            else -> (missing / quota.perSecond).seconds
        }
    }

    /** Returns this limit after this node has sent a request at [now]. */
    internal fun spent(quota: RateQuota, now: Duration): RateLimit = copy(
        saved = (savedUntil(quota, now) - 1.0).coerceAtLeast(0.0),
        savedAt = now,
        lastSentAt = now,
    )

    /** Returns this limit with its rate changed to [limit], which applies from [now] on. */
    internal fun changedTo(limit: Double, quota: RateQuota, now: Duration): RateLimit =
        copy(perSecond = limit, saved = savedUntil(quota, now), savedAt = now)

    private fun savedUntil(quota: RateQuota, now: Duration): Double {
        val added = quota.perSecond * (now - savedAt).toDouble(DurationUnit.SECONDS)
        return minOf(quota.burst, saved + added)
    }

    private companion object {
        val ZERO = Duration.ZERO
        const val ROUNDING_ERROR = 1e-6
    }
}
