package org.bilberrycart.bench.traffic

import kotlinx.serialization.Serializable

/**
 * What became of the requests of a load.
 *
 * @property whole requests whose answer came whole.
 * @property refusals requests without any token, by the name of the result.
 * @property broken answers that broke off after some tokens, by the name of the result.
 * @property late answers that ended after their deadline.
 * @property tokens tokens that callers received.
 * @property unanswered requests that were not over when the run ended.
 */
@Serializable
data class LoadTotals(
    val offered: Int = 0,
    val whole: Int = 0,
    val refusals: Map<String, Int> = emptyMap(),
    val broken: Map<String, Int> = emptyMap(),
    val late: Int = 0,
    val tokens: Long = 0,
    val missing: Int = 0,
    val repeated: Int = 0,
    val foreign: Int = 0,
    val unanswered: Int = 0,
) {
    /** Whether each token of each answer came once and was its own. */
    val hasExactTokens: Boolean
        get() = missing == 0 && repeated == 0 && foreign == 0

    /** Counts an answer that ended with [progress]. */
    internal fun ended(progress: AnswerProgress, isLate: Boolean): LoadTotals = copy(
        whole = whole + if (progress.isWhole) 1 else 0,
        late = late + if (isLate) 1 else 0,
    ).counted(progress)

    /** Counts an answer that failed for [reason] after [progress]. */
    internal fun failed(progress: AnswerProgress, reason: String): LoadTotals {
        val isRefused = progress.next == 0
        return copy(
            refusals = if (isRefused) refusals.plusOne(reason) else refusals,
            broken = if (isRefused) broken else broken.plusOne(reason),
        ).counted(progress)
    }

    private fun counted(progress: AnswerProgress) = copy(
        tokens = tokens + progress.next,
        missing = missing + progress.missing,
        repeated = repeated + progress.repeated,
        foreign = foreign + progress.foreign,
    )

    private fun Map<String, Int>.plusOne(key: String) = this + (key to (this[key] ?: 0) + 1)
}
