package org.bilberrycart.bench.trial

import kotlinx.serialization.Serializable

/**
 * The result of a trial, as the caller saw it.
 *
 * @property tokens how many different token indexes the caller received.
 * @property missing how many expected indexes the caller did not receive.
 * @property repeated how many indexes the caller received more than once.
 * @property foreign how many tokens did not belong to the caller's generation.
 * @property enginesKilled how many engines were killed while they ran the generation.
 * @property resumeLatencyMillis the time from the kill to the next token that the caller
 * received, in milliseconds; 0 if there was none.
 * @property finished whether the answer had a finish event.
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
    /** Whether an engine was killed and the answer still had each of its tokens exactly once. */
    val isKept: Boolean
        get() = finished && missing == 0 && repeated == 0 && foreign == 0 && enginesKilled > 0
}
