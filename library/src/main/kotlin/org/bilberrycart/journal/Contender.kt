package org.bilberrycart.journal

import kotlin.time.Duration
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.UpstreamId

/**
 * An attempt that may produce the next token.
 *
 * @property upstream where it runs; null until it is placed.
 * @property activeAt when it last showed a sign of life: its placement or its last token.
 * @property isAccepted whether the engine accepted the attempt on its newest connection.
 * @property probedAt when the probe under way was asked for; null if there is none.
 * @property reattachments how often its stream was read again since its last token.
 */
internal data class Contender(
    val attempt: AttemptId,
    val upstream: UpstreamId? = null,
    val activeAt: Duration,
    val isAccepted: Boolean = false,
    val hasToken: Boolean = false,
    val probedAt: Duration? = null,
    val reattachments: Int = 0,
) {
    fun active(now: Duration): Contender = copy(
        activeAt = now,
        isAccepted = true,
        hasToken = true,
        probedAt = null,
        reattachments = 0,
    )

    fun accepted(now: Duration): Contender =
        copy(activeAt = now, isAccepted = true, probedAt = null)

    fun reattached(now: Duration): Contender = copy(
        activeAt = now,
        isAccepted = false,
        probedAt = null,
        reattachments = reattachments + 1,
    )
}
