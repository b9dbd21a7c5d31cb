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
 * @property contenders the attempts that may produce the next token. More than one only between a
 *   loss and the first token after it; the first token leaves one, the current attempt.
 * @property interruptedAt when the last token before an unfinished loss came.
 */
internal data class Generation(
    val request: GenerationRequest,
    val epoch: Int,
    val policy: GenerationPolicy,
    val tokens: PersistentList<Token> = persistentListOf(),
    val contenders: PersistentList<Contender> = persistentListOf(),
    val attempts: Int = 0,
    val losses: Int = 0,
    val avoid: PersistentSet<UpstreamId> = persistentSetOf(),
    val gap: GapEstimate? = null,
    val lastTokenAt: Duration? = null,
    val interruptedAt: Duration? = null,
) {
    val nextIndex: Int
        get() = tokens.size

    fun contender(attempt: AttemptId): Contender? = contenders.find { it.attempt == attempt }

    fun replace(contender: Contender): Generation = copy(
        contenders = contenders.map { if (it.attempt == contender.attempt) contender else it }
            .toPersistentList(),
    )

    fun remove(attempt: AttemptId): Generation =
        copy(contenders = contenders.removeAll { it.attempt == attempt })

    fun placement(attempt: AttemptId): Placement =
        Placement(attempt = attempt, request = request, prefix = tokens, avoid = avoid)

    /** The silence of [contender] after which its upstream is probed. */
    fun silenceLimit(contender: Contender): Duration {
        if (!contender.isAccepted) return policy.acceptLimit
        if (!contender.hasToken) return policy.firstTokenLimit * (1 + contender.reattachments)
        val estimate = gap?.limit ?: policy.silenceCap
        return estimate.coerceIn(policy.silenceFloor, policy.silenceCap)
    }
}
