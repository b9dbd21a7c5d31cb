package org.bilberrycart.journal

import kotlin.time.Duration
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.UpstreamId

/**
 * An attempt that may produce the next token.
 *
 * @property upstream the upstream that runs the attempt; null until it is placed.
 * @property lastActiveAt the time of the last activity: creation, placement, acceptance,
 *   reattachment or token.
 * @property isAccepted whether the engine accepted the attempt on its newest connection.
 * @property hasToken whether the attempt has produced a token that was accepted.
 * @property probedAt when the pending probe was requested; null if no probe is pending.
 * @property reattachments how often its stream was reopened since its last token.
 */
internal data class ActiveAttempt(
    val attempt: AttemptId,
    val upstream: UpstreamId? = null,
    val lastActiveAt: Duration,
    val isAccepted: Boolean = false,
    val hasToken: Boolean = false,
    val probedAt: Duration? = null,
    val reattachments: Int = 0,
) {
    /** Returns this attempt after one of its tokens was accepted at [now]. */
    fun withToken(now: Duration): ActiveAttempt = copy(
        lastActiveAt = now,
        isAccepted = true,
        hasToken = true,
        probedAt = null,
        reattachments = 0,
    )

    /** Returns this attempt after the engine accepted it at [now]. */
    fun accepted(now: Duration): ActiveAttempt =
        copy(lastActiveAt = now, isAccepted = true, probedAt = null)

    /** Returns this attempt after its stream was reopened at [now]. */
    fun reattached(now: Duration): ActiveAttempt = copy(
        lastActiveAt = now,
        isAccepted = false,
        probedAt = null,
        reattachments = reattachments + 1,
    )
}
