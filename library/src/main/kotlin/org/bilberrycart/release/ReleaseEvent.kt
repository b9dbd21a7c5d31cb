package org.bilberrycart.release

import kotlinx.collections.immutable.PersistentList
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.EventId
import org.bilberrycart.model.Lineage
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ResultCode
import org.bilberrycart.model.Token

/** An event that a release shard handles. */
public sealed class ReleaseEvent {
    /** The request that the event concerns; null for an event that concerns all requests. */
    public abstract val request: RequestId?

    /** [caller] sent a new request and waits for its answer. */
    public data class Requested(
        override val request: RequestId,
        val organisation: OrganisationId,
        val caller: CallerId,
    ) : ReleaseEvent()

    /**
     * [caller] reconnected and has every token up to [after]; null if it has none and reads the
     * answer from the start.
     */
    public data class Reconnected(
        override val request: RequestId,
        val organisation: OrganisationId,
        val caller: CallerId,
        val after: EventId?,
    ) : ReleaseEvent()

    /** This node has taken over the generation with the [tokens] that were replicated. */
    public data class Adopted(
        override val request: RequestId,
        val organisation: OrganisationId,
        val lineage: Lineage,
        val tokens: PersistentList<Token>,
    ) : ReleaseEvent()

    /** Another node owns the generation now; callers here get an error and may reconnect. */
    public data class OwnershipLost(override val request: RequestId) : ReleaseEvent()

    /** [caller] cannot read a generation with this id on this node; [code] is the reason. */
    public data class Refused(
        override val request: RequestId,
        val caller: CallerId,
        val code: ResultCode,
    ) : ReleaseEvent()

    /** [caller] has taken [parts] parts from its outbox, which frees room for as many. */
    public data class CreditGranted(
        override val request: RequestId,
        val caller: CallerId,
        val parts: Int,
    ) : ReleaseEvent()

    /** A caller of [organisation] asks to stop the generation. */
    public data class CancelRequested(
        override val request: RequestId,
        val organisation: OrganisationId,
    ) : ReleaseEvent()

    /** [caller] disconnected. */
    public data class Disconnected(override val request: RequestId, val caller: CallerId) :
        ReleaseEvent()

    /** [tokens] may be delivered to the callers. */
    public data class Released(
        override val request: RequestId,
        val epoch: Int,
        val tokens: List<Token>,
    ) : ReleaseEvent()

    /** [end] is the last part of the answer. */
    public data class Ended(override val request: RequestId, val end: AnswerPart) : ReleaseEvent()

    /** The periodic timer event. */
    public data object Tick : ReleaseEvent() {
        override val request: RequestId? get() = null
    }
}
