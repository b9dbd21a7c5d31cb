package org.bilberrycart.bench.trial

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.model.Token
import org.bilberrycart.standins.engine.TokenSource

/**
 * Checks that an answer has each token of its generation once.
 *
 * @property source what the right tokens depend on.
 * @property counts how often each index came.
 */
data class AnswerCheck(
    val source: TokenSource,
    val maxTokens: Int,
    val counts: PersistentMap<Int, Int> = persistentMapOf(),
    val foreign: Int = 0,
    val isFinished: Boolean = false,
) {
    /** Counts [token], which the caller got. */
    fun take(token: Token): AnswerCheck = copy(
        counts = counts.put(token.index, (counts[token.index] ?: 0) + 1),
        foreign = foreign + if (token.text == source.token(token.index)) 0 else 1,
    )

    /** Notes that the answer came to its end. */
    fun finish(): AnswerCheck = copy(isFinished = true)

    /** Returns what the caller saw. */
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
