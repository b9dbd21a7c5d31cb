package org.bilberrycart.gateway.placement

import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.DurationUnit
import org.bilberrycart.gateway.model.UpstreamEntry

/**
 * What this node knows of one upstream.
 *
 * @property running the number of this node's attempts in progress there.
 * @property backups the number of KV cache backups that this node's attempts keep there.
 * @property rank how many other nodes come before this one for it, see [NodeShare].
 * @property peerLoad the load that other nodes last reported for it.
 * @property lastSeenAt when it last sent anything to this node.
 * @property downUntil until when it gets no calls; null while it is considered up.
 * @property failures the number of losses since it last sent anything.
 * @property failureWeight the number of failures, halved every [FAILURE_HALF_LIFE_SECONDS].
 * @property isAdopted whether it was found at another's address and is not yet in the registry.
 * @property missingSince since when registry listings lack it, if it is adopted.
 * @property isReplaced whether another upstream answered at its address.
 * @property saysLeaving whether its own answers state that it leaves, whatever the registry says.
 * @property pausedUntil until when it wants no requests of this node; null if it never said so.
 * @property rateLimit the rate limit that it named in its last answer; null if it named none.
 * @property probeSentAt when the pending probe was sent; null without one.
 * @property lastProbedAt when the last probe was sent.
 */
public data class UpstreamView(
    val entry: UpstreamEntry,
    val running: Int = 0,
    val backups: Int = 0,
    val rank: Int = 0,
    val peerLoad: Int = 0,
    val lastSeenAt: Duration = Duration.ZERO,
    val downUntil: Duration? = null,
    val failures: Int = 0,
    val failureWeight: Double = 0.0,
    val failedAt: Duration = Duration.ZERO,
    val isAdopted: Boolean = false,
    val missingSince: Duration? = null,
    val isReplaced: Boolean = false,
    val saysLeaving: Boolean = false,
    val pausedUntil: Duration? = null,
    val rateLimit: RateLimit? = null,
    val probeSentAt: Duration? = null,
    val lastProbedAt: Duration? = null,
) {
    /** Whether it is in this node's share. */
    public val isPreferred: Boolean
        get() = rank == 0

    /** Whether it takes no new calls for good, by the registry or by its own answers. */
    public val isLeaving: Boolean
        get() = entry.isLeaving || saysLeaving

    /** Whether no attempt or backup of this node is there. */
    public val isUnused: Boolean
        get() = running == 0 && backups == 0

    /** Whether it may be selected for a call at [now]. */
    public fun isUsable(now: Duration): Boolean = isUp(now) && probeSentAt == null

    /** Whether it may resume a generation from its KV cache copy, even during a probe. */
    public fun isUp(now: Duration): Boolean =
        !isLeaving && !isReplaced && (downUntil == null || downUntil <= now) && !isPaused(now)

    /** Whether it wants no requests of this node at [now]. */
    public fun isPaused(now: Duration): Boolean = pauseLeft(now) > Duration.ZERO

    /** Returns for how long it wants no requests of this node from [now] on. */
    public fun pauseLeft(now: Duration): Duration =
        pausedUntil?.let { maxOf(it - now, Duration.ZERO) } ?: Duration.ZERO

    /** Returns [failureWeight] after its decay until [now]. */
    public fun failureWeightAt(now: Duration): Double = failureWeight *
        0.5.pow((now - failedAt).toDouble(DurationUnit.SECONDS) / FAILURE_HALF_LIFE_SECONDS)

    /** Returns this view after a failure at [now]. */
    public fun withFailure(now: Duration): UpstreamView =
        copy(failureWeight = failureWeightAt(now) + 1, failedAt = now)

    /** Returns this view after the upstream sent something at [now]. */
    public fun withSignOfLife(now: Duration): UpstreamView =
        copy(lastSeenAt = now, downUntil = null, failures = 0, probeSentAt = null)

    private companion object {
        const val FAILURE_HALF_LIFE_SECONDS = 2.0
    }
}
