package org.bilberrycart.release

import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ResultCode

/** What a release shard asks for. */
public sealed class ReleaseAction {
    /** Put [part] into the outbox of [caller]; its credit covers it. */
    public data class Deliver(val caller: CallerId, val part: AnswerPart) : ReleaseAction()

    /** The answer of [request] is over for the node; its admission ends. */
    public data class Over(val request: RequestId) : ReleaseAction()

    /** Stop the generation of [request]: no caller came back in time. */
    public data class Abandon(val request: RequestId, val code: ResultCode) : ReleaseAction()
}
