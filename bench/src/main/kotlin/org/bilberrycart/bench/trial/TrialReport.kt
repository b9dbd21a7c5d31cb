package org.bilberrycart.bench.trial

import kotlinx.serialization.Serializable

/**
 * What a trial saw.
 *
 * @property tokens the tokens that the caller got.
 * @property missing indexes that the caller did not get.
 * @property repeated indexes that the caller got more than once.
 * @property foreign tokens that are not those of the caller's generation.
 * @property enginesKilled the engines killed while they ran the generation.
 * @property resumeLatencyMillis the wait of the caller from the kill to the next token.
 * @property finished whether the answer came to its end.
 */
@Serializable
data class TrialReport(
    val tokens: Int,
    val missing: Int,
    val repeated: Int,
    val foreign: Int,
    val enginesKilled: Int,
    val resumeLatencyMillis: Double,
    val finished: Boolean,
) {
    /** Whether every promise was kept. */
    val isKept: Boolean
        get() = finished && missing == 0 && repeated == 0 && foreign == 0 && enginesKilled > 0
}
