package org.bilberrycart.gateway.placement

import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.DurationUnit
import org.bilberrycart.gateway.model.UpstreamEntry

/**
 * What this node believes of one upstream.
 *
 * @property running attempts of this node under way there.
 * @property copies copies of memory that attempts of this node keep there.
 * @property elsewhere attempts that other nodes have there, as they last said.
 * @property heardAt when it last answered anything.
 * @property downUntil until when it gets no work; null while it is believed up.
 * @property failures losses since it last answered.
 * @property failureWeight recent failed answers, halved every [FAILURE_HALF_LIFE_SECONDS].
 * @property isAdopted whether it was met at another's address and is not yet in the registry.
 * @property missingSince since when the registry could have named an adopted one and did not.
 * @property isReplaced whether its address answered as another upstream.
 * @property probeSentAt when an unanswered probe was sent.
 */
public data class UpstreamView(
    val entry: UpstreamEntry,
    val running: Int = 0,
    val copies: Int = 0,
    val elsewhere: Int = 0,
    val heardAt: Duration = Duration.ZERO,
    val downUntil: Duration? = null,
    val failures: Int = 0,
    val failureWeight: Double = 0.0,
    val failedAt: Duration = Duration.ZERO,
    val isAdopted: Boolean = false,
    val missingSince: Duration? = null,
    val isReplaced: Boolean = false,
    val probeSentAt: Duration? = null,
    val probedAt: Duration? = null,
) {
    /** Whether no attempt of this node has to do with it. */
    public val isUnused: Boolean
        get() = running == 0 && copies == 0

    /** Whether it may get new work at [now]. */
    public fun isUsable(now: Duration): Boolean = isUp(now) && probeSentAt == null

    /** Whether it may get work that only it can do, even while a probe is under way. */
    public fun isUp(now: Duration): Boolean =
        !entry.isLeaving && !isReplaced && (downUntil == null || downUntil <= now)

    /** Returns the weight of recent failures at [now]. */
    public fun failureWeightAt(now: Duration): Double = failureWeight *
        0.5.pow((now - failedAt).toDouble(DurationUnit.SECONDS) / FAILURE_HALF_LIFE_SECONDS)

    /** Returns this view after a failed answer at [now]. */
    public fun failed(now: Duration): UpstreamView =
        copy(failureWeight = failureWeightAt(now) + 1, failedAt = now)

    /** Returns this view after the upstream gave a sign of life at [now]. */
    public fun heard(now: Duration): UpstreamView =
        copy(heardAt = now, downUntil = null, failures = 0, probeSentAt = null)

    private companion object {
        const val FAILURE_HALF_LIFE_SECONDS = 2.0
    }
}
