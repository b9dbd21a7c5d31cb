package org.bilberrycart.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The kind of a request, by how long its caller waits.
 *
 * @property priority the priority passed to upstreams; a lower number is served first.
 */
@Serializable
public enum class RequestClass(public val priority: Int) {
    /** A question that is answered while the caller waits. */
    @SerialName("shortQuestion")
    SHORT_QUESTION(priority = 0),

    /** A call that changes something. */
    @SerialName("action")
    ACTION(priority = 0),

    /** An idempotent look-up. */
    @SerialName("check")
    CHECK(priority = 1),

    /** A generation that may run for minutes. */
    @SerialName("longDraft")
    LONG_DRAFT(priority = 2),
}
