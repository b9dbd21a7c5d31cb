package org.bilberrycart.model

import kotlin.time.Duration

/** A part of an answer on its way to the caller. */
public sealed class AnswerPart {
    /** Tokens released in [epoch], in order and without a gap. */
    public data class Tokens(val epoch: Int, val tokens: List<Token>) : AnswerPart()

    /** The answer of a plain service; it is the whole answer. */
    public data class Reply(val status: Int, val body: String) : AnswerPart()

    /** The answer is whole and ends here after [tokenCount] tokens. */
    public data class Finished(val reason: FinishReason, val tokenCount: Int) : AnswerPart()

    /** The answer ends here with a numbered result. */
    public data class Failed(
        val code: ResultCode,
        val detail: String = "",
        val retryAfter: Duration? = null,
    ) : AnswerPart()

    /** Whether nothing follows this part. */
    public val isLast: Boolean
        get() = this !is Tokens
}
