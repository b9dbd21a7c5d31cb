package org.bilberrycart.idempotency

import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.LossCause
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ResultCode
import org.bilberrycart.model.ServiceCall
import org.bilberrycart.model.UpstreamId

/** An event that the idempotency duty handles. */
public sealed class IdempotencyEvent {
    /** Admission accepted [call] of a caller. */
    public data class Arrived(val call: ServiceCall) : IdempotencyEvent()

    /** The write [storeCallId] of the record of [request] has a result. */
    public data class RecordWritten(
        val request: RequestId,
        val storeCallId: Long,
        val result: WriteResult,
    ) : IdempotencyEvent()

    /** The read [storeCallId] of the record of [request] has a result. */
    public data class RecordRead(
        val request: RequestId,
        val storeCallId: Long,
        val result: ReadResult,
    ) : IdempotencyEvent()

    /** Routing chose [upstream] for [attempt]. */
    public data class Placed(val attempt: AttemptId, val upstream: UpstreamId) :
        IdempotencyEvent()

    /** No upstream can take [attempt], and no byte of it was sent. */
    public data class Unplaceable(val attempt: AttemptId, val code: ResultCode) :
        IdempotencyEvent()

    /** The service answered [attempt]. */
    public data class Answered(val attempt: AttemptId, val status: Int, val body: String) :
        IdempotencyEvent()

    /**
     * [attempt] failed without an answer.
     *
     * @property mayHaveRun false only if certainly no byte of the attempt was sent.
     */
    public data class Lost(val attempt: AttemptId, val cause: LossCause, val mayHaveRun: Boolean) :
        IdempotencyEvent()

    /** Periodic event that drives all time limits. */
    public data object Tick : IdempotencyEvent()
}
