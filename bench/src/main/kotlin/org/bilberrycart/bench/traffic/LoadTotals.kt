package org.bilberrycart.bench.traffic

import kotlinx.serialization.Serializable

/**
 * The numbers of requests and tokens in a load, by outcome.
 *
 * @property offered requests that were sent.
 * @property whole requests whose answer was complete and correct.
 * @property refusals requests that failed before the first token, by the name of the result.
 * @property broken answers that failed after some tokens, by the name of the result.
 * @property late answers that ended after their deadline.
 * @property tokens tokens that callers received.
 * @property missing tokens that answers left out.
 * @property repeated tokens that came more than once.
 * @property foreign tokens that do not belong to their answer.
 * @property unanswered requests that were still open when the run ended.
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
    /** Whether no answer had missing, repeated or foreign tokens. */
    val hasExactTokens: Boolean
        get() = missing == 0 && repeated == 0 && foreign == 0

    /** Returns the totals with an answer added that finished with [progress]. */
    internal fun withFinished(progress: AnswerProgress, isLate: Boolean): LoadTotals = copy(
        whole = whole + if (progress.isWhole) 1 else 0,
        late = late + if (isLate) 1 else 0,
    ).withTokensOf(progress)

    /** Returns the totals with an answer added that failed for [reason] after [progress]. */
    internal fun withFailed(progress: AnswerProgress, reason: String): LoadTotals {
        val isRefused = progress.nextIndex == 0
        return copy(
            refusals = if (isRefused) refusals.plusOne(reason) else refusals,
            broken = if (isRefused) broken else broken.plusOne(reason),
        ).withTokensOf(progress)
    }

    private fun withTokensOf(progress: AnswerProgress) = copy(
        tokens = tokens + progress.nextIndex,
        missing = missing + progress.missing,
        repeated = repeated + progress.repeated,
        foreign = foreign + progress.foreign,
    )

    private fun Map<String, Int>.plusOne(key: String) = this + (key to (this[key] ?: 0) + 1)
}
