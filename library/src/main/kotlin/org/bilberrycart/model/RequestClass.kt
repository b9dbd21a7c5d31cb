package org.bilberrycart.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The kind of a request, which determines its deadlines and its priority.
 *
 * @property priority the priority sent to upstreams; lower numbers are served first.
 */
@Serializable
public enum class RequestClass(public val priority: Int) {
    /** A question that is answered while the caller waits. */
    @SerialName("shortQuestion")
    SHORT_QUESTION(priority = 0),

    /** A call with side effects. */
    @SerialName("action")
    ACTION(priority = 0),

    /** An idempotent lookup. */
    @SerialName("check")
    CHECK(priority = 1),

    /** A generation that may run for minutes. */
    @SerialName("longDraft")
    LONG_DRAFT(priority = 2),
}
