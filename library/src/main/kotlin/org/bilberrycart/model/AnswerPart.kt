package org.bilberrycart.model

import kotlin.time.Duration

/** One part of the answer to a request, in the order in which the caller receives them. */
public sealed class AnswerPart {
    /** Consecutive tokens that the owner of the generation released in [epoch]. */
    public data class Tokens(val epoch: Int, val tokens: List<Token>) : AnswerPart()

    /** The complete response of a plain service. */
    public data class Reply(val status: Int, val body: String) : AnswerPart()

    /** Ends a complete generated answer of [tokenCount] tokens. */
    public data class Finished(val reason: FinishReason, val tokenCount: Int) : AnswerPart()

    /**
     * Ends the answer with an error.
     *
     * @property retryAfter when the caller may retry; null if no time is suggested.
     */
    public data class Failed(
        val code: ResultCode,
        val detail: String = "",
        val retryAfter: Duration? = null,
    ) : AnswerPart()

    /** Whether this is the last part of the answer. */
    public val isLast: Boolean
        get() = this !is Tokens
}
