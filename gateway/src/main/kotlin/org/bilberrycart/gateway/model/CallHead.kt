package org.bilberrycart.gateway.model

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList

/**
 * What a caller sent before the body of a call.
 *
 * @property requestId the caller's id for this attempt of its own.
 * @property target path and query, byte for byte.
 * @property headers the end-to-end headers that go on unchanged.
 * @property credential the key that the caller presented; never sent on.
 * @property timeLeft how long the caller waits from the arrival on, if it says so.
 * @property lastEvent the last event that the caller has, when it resumes a stream.
 * @property tokens the size of the prompt and the longest output, in tokens, if declared.
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
    val tokens: TokenCounts? = null,
) {
    /** The path without its query. */
    val path: String
        get() = target.substringBefore('?')
}
