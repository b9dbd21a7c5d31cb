package org.bilberrycart.idempotency

import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.LossCause
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ResultCode
import org.bilberrycart.model.ServiceCall
import org.bilberrycart.model.UpstreamId

/** What the idempotency duty reacts to. */
public sealed class IdempotencyEvent {
    /** A caller sent [call] and admission let it in. */
    public data class Arrived(val call: ServiceCall) : IdempotencyEvent()

    /** The write [operation] of the record of [request] ended. */
    public data class RecordWritten(
        val request: RequestId,
        val operation: Long,
        val result: WriteResult,
    ) : IdempotencyEvent()

    /** The read [operation] of the record of [request] ended. */
    public data class RecordRead(
        val request: RequestId,
        val operation: Long,
        val result: ReadResult,
    ) : IdempotencyEvent()

    /** Routing gave [attempt] to [upstream]. */
    public data class Placed(val attempt: AttemptId, val upstream: UpstreamId) :
        IdempotencyEvent()

    /** No upstream can take [attempt]; nothing of it was sent. */
    public data class Unplaceable(val attempt: AttemptId, val code: ResultCode) :
        IdempotencyEvent()

    /** The service answered [attempt]. */
    public data class Answered(val attempt: AttemptId, val status: Int, val body: String) :
        IdempotencyEvent()

    /** [attempt] brings no answer; [mayHaveRun] unless certainly no byte of it was sent. */
    public data class Lost(val attempt: AttemptId, val cause: LossCause, val mayHaveRun: Boolean) :
        IdempotencyEvent()

    /** Time has passed. */
    public data object Tick : IdempotencyEvent()
}
