package org.bilberrycart.replication

import kotlinx.collections.immutable.PersistentList
import org.bilberrycart.membership.Member
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.Lineage
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.Token
import org.bilberrycart.takeover.TakeoverMessage

/** An action that a replication shard requests. */
public sealed class ReplicationAction {
    /** Release [tokens] to the caller. */
    public data class Release(val request: RequestId, val epoch: Int, val tokens: List<Token>) :
        ReplicationAction()

    /** Release [end] to the caller, after all tokens. */
    public data class ReleaseEnd(val request: RequestId, val epoch: Int, val end: AnswerPart) :
        ReplicationAction()

    /** Send [messages], in one frame, to the shard of [to] for the same requests. */
    public data class Send(val to: Member, val messages: List<ReplicationMessage>) :
        ReplicationAction()

    /** Send [message] to the takeover duty of [to], which may be this node. */
    public data class Answer(val to: Member, val message: TakeoverMessage) : ReplicationAction()

    /** Write [verdict] for [key] unless the table has one, and report the one that it has then. */
    public data class Decide(val key: ReplicaKey, val verdict: Verdict) : ReplicationAction()

    /**
     * This node no longer owns the generation. The journal removes it and does not touch the stream
     * of the engine, since the new owner may be reading it.
     */
    public data class OwnershipLost(val request: RequestId, val epoch: Int) : ReplicationAction()

    /**
     * This node now owns [generation] in [epoch], as the takeover duty requested by [claim].
     *
     * All [tokens] may be released to the caller.
     */
    public data class Adopted(
        val claim: Long,
        val generation: GenerationRequest,
        val epoch: Int,
        val tokens: PersistentList<Token>,
        val lineage: Lineage,
        val place: AttemptPlace?,
    ) : ReplicationAction()
}
