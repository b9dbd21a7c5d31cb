package org.bilberrycart.bench.traffic

import org.bilberrycart.standins.engine.TokenSource

/**
 * The tokens that a caller has received of an answer, checked against the expected ones.
 *
 * @property source computes the expected tokens.
 * @property maxTokens the answer length that the request asked for, in tokens.
 * @property nextIndex the index of the token that is expected next.
 * @property missing the number of tokens that were skipped.
 * @property repeated the number of tokens whose index had already been received.
 * @property foreign the number of tokens that differ from the expected ones or exceed the length.
 * @property isWhole whether the answer has ended and holds exactly the expected tokens.
 */
data class AnswerProgress(
    val source: TokenSource,
    val maxTokens: Int,
    val nextIndex: Int = 0,
    val missing: Int = 0,
    val repeated: Int = 0,
    val foreign: Int = 0,
    val isWhole: Boolean = false,
) {
    /** The number of missing, repeated and foreign tokens. */
    val violations: Int
        get() = missing + repeated + foreign

    /** Returns the progress after the token [text] with [index] has arrived. */
    fun withToken(index: Int, text: String): AnswerProgress = when {
        index < nextIndex -> copy(repeated = repeated + 1)
        else -> copy(
            nextIndex = index + 1,
            missing = missing + index - nextIndex,
            foreign = foreign + if (text == source.token(index)) 0 else 1,
        )
    }

    /** Returns the progress after the end of the answer, with its absent tokens as missing. */
    fun withEnd(): AnswerProgress {
        val length = source.length(maxTokens)
        return copy(
            isWhole = nextIndex == length && violations == 0,
            missing = missing + (length - nextIndex).coerceAtLeast(0),
            foreign = foreign + (nextIndex - length).coerceAtLeast(0),
        )
    }
}
