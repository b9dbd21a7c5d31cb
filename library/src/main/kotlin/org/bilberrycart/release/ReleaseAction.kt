package org.bilberrycart.release

import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.EventId
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ResultCode

/** An action that a release shard requests. */
public sealed class ReleaseAction {
    /** Put [part] into the outbox of [caller], whose credit guarantees room for it. */
    public data class Deliver(val caller: CallerId, val part: AnswerPart) : ReleaseAction()

    /** Find the node that holds a replica of [request], which this shard does not know. */
    public data class Locate(
        val request: RequestId,
        val organisation: OrganisationId,
        val caller: CallerId,
        val after: EventId?,
    ) : ReleaseAction()

    /** The answer to [request] has ended after [tokens] tokens; end its admission. */
    public data class AnswerEnded(val request: RequestId, val tokens: Int = 0) : ReleaseAction()

    /** Stop the generation of [request], because its caller cancelled it or did not come back. */
    public data class StopGeneration(val request: RequestId, val code: ResultCode) :
        ReleaseAction()
}
