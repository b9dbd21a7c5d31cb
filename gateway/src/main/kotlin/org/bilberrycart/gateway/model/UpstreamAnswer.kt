package org.bilberrycart.gateway.model

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList

/** A complete answer of an upstream to a call that is not a stream. */
public data class UpstreamAnswer(val head: AnswerHead, val body: Body)

/**
 * The status and the end-to-end headers of an upstream's answer.
 *
 * @property requestId the request id that the upstream echoed, if any.
 * @property isSigned whether the answer carries the signature header of an upstream.
 * @property didNotRun whether the upstream states that it has not run the call.
 * @property isMisdirected whether another upstream answered than the call was sent to.
 * @property endsWithConnection whether the body has no length and no chunks, so that the end of
 *   the connection is its end.
 * @property upstream the id of the upstream that answered, if it is stated.
 * @property isLeaving whether the upstream states that it is about to leave.
 * @property retryAfter for how long the upstream wants no requests from this node, if it states so.
 * @property rateLimit the requests a second that the upstream takes from all nodes together, if it
 *   names a limit.
 */
public data class AnswerHead(
    val status: Int,
    val headers: PersistentList<Header>,
    val requestId: String?,
    val isSigned: Boolean,
    val didNotRun: Boolean,
    val isMisdirected: Boolean,
    val endsWithConnection: Boolean = false,
    val upstream: UpstreamId? = null,
    val rateLimit: Double? = null,
    val isLeaving: Boolean = false,
    val retryAfter: Duration? = null,
) {
    /** Whether the status is in the 2xx range. */
    val isSuccess: Boolean
        get() = status in 200..299

    /** Whether the status is the one of a stream; any other tells that no events follow. */
    val isStreamStatus: Boolean
        get() = status == OK

    /** Whether the answer promises that the call has not run and never will. */
    val promisesNotRun: Boolean
        get() = didNotRun || isMisdirected

    /** Returns this head without what it states of the call, to which it may not belong. */
    public fun withoutStatements(): AnswerHead =
        copy(isSigned = false, didNotRun = false, isMisdirected = false)

    private companion object {
        const val OK = 200
    }
}
