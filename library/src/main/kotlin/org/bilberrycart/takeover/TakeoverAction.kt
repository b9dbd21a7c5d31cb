package org.bilberrycart.takeover

import kotlinx.collections.immutable.PersistentList
import org.bilberrycart.membership.Member
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.EventId
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.Lineage
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ResultCode
import org.bilberrycart.model.Token
import org.bilberrycart.release.CallerId
import org.bilberrycart.replication.AttemptPlace
import org.bilberrycart.replication.ReplicationMessage

/** What the takeover duty asks for. */
public sealed class TakeoverAction {
    /** Send [message] to the replication shard of [to], which may be this node. */
    public data class Ask(val to: Member, val message: ReplicationMessage) : TakeoverAction()

    /** This node owns the generation; [caller] gets the rest of it from the release filter. */
    public data class Reconnect(
        val caller: CallerId,
        val request: RequestId,
        val organisation: OrganisationId,
        val after: EventId?,
    ) : TakeoverAction()

    /**
     * The journal continues [generation] in [epoch] after [tokens], which the release filter gets
     * at once; the attempt at [place] may still run.
     */
    public data class Adopt(
        val generation: GenerationRequest,
        val epoch: Int,
        val tokens: PersistentList<Token>,
        val lineage: Lineage,
        val place: AttemptPlace?,
    ) : TakeoverAction()

    /** The generation is over: the release filter gets all of it at once. */
    public data class Replay(
        val request: RequestId,
        val organisation: OrganisationId,
        val tokens: PersistentList<Token>,
        val lineage: Lineage,
        val end: AnswerPart,
    ) : TakeoverAction()

    /** [caller] gets no tokens, only [code]. */
    public data class Refuse(val caller: CallerId, val request: RequestId, val code: ResultCode) :
        TakeoverAction()
}
