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

/** An action that the takeover duty requests. */
public sealed class TakeoverAction {
    /** Send [message] to the replication shard of [to], which may be this node. */
    public data class Send(val to: Member, val message: ReplicationMessage) : TakeoverAction()

    /** This node owns the generation; the release filter serves [caller] from after [after]. */
    public data class Reconnect(
        val caller: CallerId,
        val request: RequestId,
        val organisation: OrganisationId,
        val after: EventId?,
    ) : TakeoverAction()

    /**
     * Continue [generation] in [epoch] after [tokens].
     *
     * The journal resumes the generation, and the release filter can deliver [tokens] at once. The
     * attempt at [place] may still be running.
     */
    public data class Adopt(
        val generation: GenerationRequest,
        val epoch: Int,
        val tokens: PersistentList<Token>,
        val lineage: Lineage,
        val place: AttemptPlace?,
    ) : TakeoverAction()

    /** The generation has ended; pass all its [tokens] and its [end] to the release filter. */
    public data class Replay(
        val request: RequestId,
        val organisation: OrganisationId,
        val tokens: PersistentList<Token>,
        val lineage: Lineage,
        val end: AnswerPart,
    ) : TakeoverAction()

    /** Refuse [caller] with [code]. */
    public data class Refuse(val caller: CallerId, val request: RequestId, val code: ResultCode) :
        TakeoverAction()
}
