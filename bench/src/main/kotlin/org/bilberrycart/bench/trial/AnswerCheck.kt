package org.bilberrycart.bench.trial

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.model.Token
import org.bilberrycart.standins.engine.TokenSource

/**
 * Checks that an answer has each token of its generation exactly once.
 *
 * @property source produces the expected tokens.
 * @property maxTokens the limit that the request set for the tokens of the answer.
 * @property counts how often the caller received each index.
 * @property foreign how many tokens had a text other than the expected one.
 * @property isFinished whether the answer had a finish event.
 */
data class AnswerCheck(
    val source: TokenSource,
    val maxTokens: Int,
    val counts: PersistentMap<Int, Int> = persistentMapOf(),
    val foreign: Int = 0,
    val isFinished: Boolean = false,
) {
    /** Returns a copy that also counts [token], which the caller received. */
    fun withToken(token: Token): AnswerCheck = copy(
        counts = counts.put(token.index, (counts[token.index] ?: 0) + 1),
        foreign = foreign + if (token.text == source.token(token.index)) 0 else 1,
    )

    /** Returns a copy in which the answer is finished. */
    fun withFinish(): AnswerCheck = copy(isFinished = true)

    /** Compares the received tokens with the expected ones and returns the result. */
    fun report(enginesKilled: Int, resumeLatencyMillis: Double): TrialReport {
        val expected = 0 until source.length(maxTokens)
        return TrialReport(
            tokens = counts.size,
            missing = expected.count { it !in counts },
            repeated = counts.values.count { it > 1 },
            foreign = foreign + counts.keys.count { it !in expected },
            enginesKilled = enginesKilled,
            resumeLatencyMillis = resumeLatencyMillis,
            finished = isFinished,
        )
    }
}
