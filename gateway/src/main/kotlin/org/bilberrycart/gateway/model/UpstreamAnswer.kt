package org.bilberrycart.gateway.model

import kotlinx.collections.immutable.PersistentList

/** The whole answer of an upstream to a call that is no stream. */
public data class UpstreamAnswer(val head: AnswerHead, val body: Body)

/**
 * The status and the end-to-end headers of an upstream's answer.
 *
 * @property requestId the id of the call that the upstream answers, as it echoed it.
 * @property isSigned whether the answer carries the upstream's signature.
 * @property didNotRun whether the upstream states that it has not run the call.
 * @property isMisdirected whether the upstream is another one than the call was meant for.
 * @property upstream the upstream that answers, if it says so.
 * @property isLast whether the upstream closes the connection behind this answer.
 */
public data class AnswerHead(
    val status: Int,
    val headers: PersistentList<Header>,
    val requestId: String?,
    val isSigned: Boolean,
    val didNotRun: Boolean,
    val isMisdirected: Boolean,
    val isLast: Boolean = false,
    val upstream: UpstreamId? = null,
) {
    /** Whether the upstream did what was asked. */
    val isSuccess: Boolean
        get() = status in 200..299
}
