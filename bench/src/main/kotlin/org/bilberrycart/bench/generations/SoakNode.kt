package org.bilberrycart.bench.generations

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.membership.Member
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.EventId
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.Token
import org.bilberrycart.replication.ReplicationState
import org.bilberrycart.takeover.TakeoverState

/**
 * A simulated node process.
 *
 * It runs the real replication and takeover decisions; the journal and the release of tokens to
 * callers are simplified fakes.
 *
 * @property journals the journals of the generations that the node owns.
 * @property answers the answers that the node serves to callers.
 */
data class SoakNode(
    val id: ProcessId,
    val member: Member,
    val replication: ReplicationState,
    val takeover: TakeoverState,
    val journals: PersistentMap<RequestId, Journal> = persistentHashMapOf(),
    val answers: PersistentMap<RequestId, ReleasedAnswer> = persistentHashMapOf(),
    val isAlive: Boolean = true,
    val isPaused: Boolean = false,
) {
    /** The journal of an owned generation, which contains [size] tokens. */
    data class Journal(val generation: GenerationRequest, val epoch: Int, val size: Int)

    /**
     * The released part of one generation's answer.
     *
     * @property end the end of the answer; null while the generation runs.
     * @property readers the index of the next token to send, by number of the caller's connection.
     */
    data class ReleasedAnswer(
        val released: PersistentList<ReleasedToken> = persistentListOf(),
        val end: AnswerPart? = null,
        val readers: PersistentMap<Long, Int> = persistentHashMapOf(),
    )

    /** A released token and the epoch in which it was generated. */
    data class ReleasedToken(val epoch: Int, val token: Token)
}

/**
 * The caller of one generation.
 *
 * @property connection the number of its current connection.
 * @property node the process it is connected to; null while it is disconnected.
 * @property lastEventId the id of the last token it received.
 * @property texts the texts of the tokens it received, in order.
 * @property end the end of its answer; null while the answer runs.
 */
data class SoakCaller(
    val request: RequestId,
    val connection: Long = 0,
    val node: ProcessId? = null,
    val lastEventId: EventId? = null,
    val texts: PersistentList<String> = persistentListOf(),
    val end: AnswerPart? = null,
)
