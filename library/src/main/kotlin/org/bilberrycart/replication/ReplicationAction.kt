package org.bilberrycart.replication

import kotlinx.collections.immutable.PersistentList
import org.bilberrycart.membership.Member
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.Lineage
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.Token
import org.bilberrycart.takeover.TakeoverMessage

/** What a replication shard asks for. */
public sealed class ReplicationAction {
    /** [tokens] may go to the caller. */
    public data class Release(val request: RequestId, val epoch: Int, val tokens: List<Token>) :
        ReplicationAction()

    /** All tokens are released; [end] may go to the caller. */
    public data class ReleaseEnd(val request: RequestId, val epoch: Int, val end: AnswerPart) :
        ReplicationAction()

    /** Send [messages], in one frame, to the shard of [to] for the same requests. */
    public data class Send(val to: Member, val messages: List<ReplicationMessage>) :
        ReplicationAction()

    /** Send [message] to the takeover duty of [to], which may be this node. */
    public data class Answer(val to: Member, val message: TakeoverMessage) : ReplicationAction()

    /** Write [verdict] for [key] into the table unless it keeps one, and report what it keeps. */
    public data class Decide(val key: ReplicaKey, val verdict: Verdict) : ReplicationAction()

    /**
     * This node owns the generation no more. The journal forgets it and leaves the stream of the
     * engine alone, since the new owner may be reading it.
     */
    public data class Disown(val request: RequestId, val epoch: Int) : ReplicationAction()

    /** This node owns [generation] in [epoch] from now on; the takeover duty asked by [claim].
     * All [tokens] may go to the caller. */
    public data class Adopted(
        val claim: Long,
        val generation: GenerationRequest,
        val epoch: Int,
        val tokens: PersistentList<Token>,
        val lineage: Lineage,
        val place: AttemptPlace?,
    ) : ReplicationAction()
}
