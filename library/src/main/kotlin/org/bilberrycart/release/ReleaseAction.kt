package org.bilberrycart.release

import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.EventId
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ResultCode

/** What a release shard asks for. */
public sealed class ReleaseAction {
    /** Put [part] into the outbox of [caller]; its credit covers it. */
    public data class Deliver(val caller: CallerId, val part: AnswerPart) : ReleaseAction()

    /** This shard does not know [request]; find out whether another node holds a replica of it. */
    public data class Locate(
        val request: RequestId,
        val organisation: OrganisationId,
        val caller: CallerId,
        val after: EventId?,
    ) : ReleaseAction()

    /** The answer of [request] is over after [tokens] tokens; its admission ends. */
    public data class Over(val request: RequestId, val tokens: Int = 0) : ReleaseAction()

    /** Stop the generation of [request]: its caller cancelled it or did not come back. */
    public data class Abandon(val request: RequestId, val code: ResultCode) : ReleaseAction()
}
