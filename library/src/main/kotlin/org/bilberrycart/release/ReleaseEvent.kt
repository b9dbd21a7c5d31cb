package org.bilberrycart.release

import kotlinx.collections.immutable.PersistentList
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.EventId
import org.bilberrycart.model.Lineage
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ResultCode
import org.bilberrycart.model.Token

/** What a release shard reacts to. */
public sealed class ReleaseEvent {
    public abstract val request: RequestId?

    /** [caller] sent a new request and waits for its answer. */
    public data class Expected(
        override val request: RequestId,
        val organisation: OrganisationId,
        val caller: CallerId,
    ) : ReleaseEvent()

    /** [caller] is back and has everything up to [after]; null for an answer from its start. */
    public data class Reconnected(
        override val request: RequestId,
        val organisation: OrganisationId,
        val caller: CallerId,
        val after: EventId?,
    ) : ReleaseEvent()

    /** This node has taken over the generation with the [tokens] that its replica held. */
    public data class Adopted(
        override val request: RequestId,
        val organisation: OrganisationId,
        val lineage: Lineage,
        val tokens: PersistentList<Token>,
    ) : ReleaseEvent()

    /** Another node owns the generation now; callers here are told, and may come back later. */
    public data class OwnershipLost(override val request: RequestId) : ReleaseEvent()

    /** No generation of this id can go on here for [caller]; [code] tells why. */
    public data class Refused(
        override val request: RequestId,
        val caller: CallerId,
        val code: ResultCode,
    ) : ReleaseEvent()

    /** [caller] has taken [parts] parts from its outbox. */
    public data class Credit(
        override val request: RequestId,
        val caller: CallerId,
        val parts: Int,
    ) : ReleaseEvent()

    /** A caller of [organisation] wants the generation stopped. */
    public data class CancelRequested(
        override val request: RequestId,
        val organisation: OrganisationId,
    ) : ReleaseEvent()

    /** [caller] went away. */
    public data class Disconnected(override val request: RequestId, val caller: CallerId) :
        ReleaseEvent()

    /** [tokens] may go to the caller. */
    public data class Released(
        override val request: RequestId,
        val epoch: Int,
        val tokens: List<Token>,
    ) : ReleaseEvent()

    /** [end] is the last part of the answer. */
    public data class Ended(override val request: RequestId, val end: AnswerPart) : ReleaseEvent()

    /** Time has passed. */
    public data object Tick : ReleaseEvent() {
        override val request: RequestId? get() = null
    }
}
