package org.bilberrycart.gateway.model

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * The request line and the headers of a call, as the caller sent them.
 *
 * @property requestId the caller's id of this request; a retry by the caller has another one.
 * @property target path and query, byte for byte.
 * @property headers the end-to-end headers, which are forwarded unchanged.
 * @property credential the API key that the caller presented; never forwarded.
 * @property timeLeft how long the caller waits for the answer, from arrival; null if not stated.
 * @property lastEvent the id of the last event that the caller received, if it resumes a stream.
 * @property continuedRequest the id of the request that brought the stream's first event, if the
 *   caller resumes a stream.
 * @property earlierArrivals how often the call may have reached an upstream before another node
 *   forwarded it; null if it comes from a caller.
 * @property tokens the declared sizes of the prompt and the output, in tokens, if any.
 * @property sharedParts the parts of the prompt that other requests may share, in order.
 */
public data class CallHead(
    val requestId: String,
    val method: String,
    val target: String,
    val host: String,
    val headers: PersistentList<Header>,
    val credential: String? = null,
    val timeLeft: Duration? = null,
    val lastEvent: Long? = null,
    val continuedRequest: String? = null,
    val earlierArrivals: Int? = null,
    val tokens: TokenCounts? = null,
    val sharedParts: PersistentList<PromptPartId> = persistentListOf(),
) {
    /** The path without its query. */
    val path: String
        get() = target.substringBefore('?')
}
