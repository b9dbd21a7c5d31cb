package org.bilberrycart.journal

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.Placement
import org.bilberrycart.model.Token
import org.bilberrycart.model.UpstreamId

/**
 * The journal of one generation.
 *
 * @property tokens the accepted tokens; the token at position n has index n.
 * @property activeAttempts the attempts that may produce the next token. There is more than one
 *   only between a loss and the first token after it, which leaves only the current attempt.
 * @property attempts the number of attempts created in this epoch.
 * @property losses the number of attempts lost in this epoch.
 * @property avoid the upstreams that lost an attempt of this generation.
 * @property gapEstimate the estimated gap between tokens; null before a gap was measured.
 * @property interruptedAt the time of the last token before a loss that no token has followed yet;
 *   null if the generation is not interrupted. For a generation that was taken over, the time of
 *   the takeover.
 */
internal data class Generation(
    val request: GenerationRequest,
    val epoch: Int,
    val policy: GenerationPolicy,
    val tokens: PersistentList<Token> = persistentListOf(),
    val activeAttempts: PersistentList<ActiveAttempt> = persistentListOf(),
    val attempts: Int = 0,
    val losses: Int = 0,
    val avoid: PersistentSet<UpstreamId> = persistentSetOf(),
    val gapEstimate: GapEstimate? = null,
    val lastTokenAt: Duration? = null,
    val interruptedAt: Duration? = null,
) {
    val nextIndex: Int
        get() = tokens.size

    fun activeAttempt(attempt: AttemptId): ActiveAttempt? =
        activeAttempts.find { it.attempt == attempt }

    fun replace(activeAttempt: ActiveAttempt): Generation = copy(
        activeAttempts = activeAttempts
            .map { if (it.attempt == activeAttempt.attempt) activeAttempt else it }
            .toPersistentList(),
    )

    fun remove(attempt: AttemptId): Generation =
        copy(activeAttempts = activeAttempts.removeAll { it.attempt == attempt })

    fun placement(attempt: AttemptId): Placement =
        Placement(attempt = attempt, request = request, prefix = tokens, avoid = avoid)

    /** Returns the silence of [attempt] after which its upstream is probed. */
    fun silenceLimit(attempt: ActiveAttempt): Duration {
        if (!attempt.isAccepted) return policy.acceptLimit
        if (!attempt.hasToken) return policy.firstTokenLimit * (1 + attempt.reattachments)
        val estimate = gapEstimate?.silenceLimit ?: policy.silenceCap
        return estimate.coerceIn(policy.silenceFloor, policy.silenceCap)
    }
}
