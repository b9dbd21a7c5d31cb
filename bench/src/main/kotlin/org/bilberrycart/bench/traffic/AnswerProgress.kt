package org.bilberrycart.bench.traffic

import org.bilberrycart.standins.engine.TokenSource

/**
 * What a caller has of its answer so far, checked against the right tokens.
 *
 * @property next the index that comes next.
 * @property missing indexes that were left out.
 * @property repeated tokens whose index had come before.
 * @property foreign tokens that are not those of this generation.
 * @property isWhole whether the answer ended after exactly the right number of tokens.
 */
data class AnswerProgress(
    val source: TokenSource,
    val maxTokens: Int,
    val next: Int = 0,
    val missing: Int = 0,
    val repeated: Int = 0,
    val foreign: Int = 0,
    val isWhole: Boolean = false,
) {
    /** How many of the promises about the tokens of this answer are broken. */
    val violations: Int
        get() = missing + repeated + foreign

    /** Takes the token [text] at [index]. */
    fun take(index: Int, text: String): AnswerProgress = when {
        index < next -> copy(repeated = repeated + 1)
        else -> copy(
            next = index + 1,
            missing = missing + index - next,
            foreign = foreign + if (text == source.token(index)) 0 else 1,
        )
    }

    /** Takes the end of the answer. */
    fun finish(): AnswerProgress {
        val length = source.length(maxTokens)
        return copy(
            isWhole = next == length && violations == 0,
            missing = missing + (length - next).coerceAtLeast(0),
            foreign = foreign + (next - length).coerceAtLeast(0),
        )
    }
}
