package org.bilberrycart.bench.processes

import kotlin.time.DurationUnit
import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram

/**
 * What a run of real processes saw.
 *
 * @property requests the generations and short questions that were asked for.
 * @property whole the answers and actions that came to their end.
 * @property refused numbered refusals, by code.
 * @property resumed how many callers got a next token after their node was killed.
 * @property resumeP50Millis the median wait from a node's death to its caller's next token.
 */
@Serializable
data class ProcessReport(
    val seed: Long,
    val minutes: Double,
    val requests: Long,
    val tokens: Long,
    val actions: Long,
    val executions: Long,
    val faults: Map<String, Int>,
    val reconnects: Long,
    val whole: Long,
    val refused: Map<Int, Int>,
    val resumed: Long,
    val resumeP50Millis: Double,
    val resumeP99Millis: Double,
    val violations: List<ProcessViolation>,
) {
    companion object {
        private const val P50 = 50.0
        private const val P99 = 99.0
        private const val DIGITS = 3
        private const val MICROS_PER_MILLI = 1_000.0

        /** Returns the report of [state]. */
        fun of(seed: Long, minutes: Double, state: RunState): ProcessReport {
            val waits = Histogram(DIGITS)
            state.resumeWaits.forEach { waits.recordValue(it.toLong(DurationUnit.MICROSECONDS)) }
            return ProcessReport(
                seed = seed,
                minutes = minutes,
                requests = state.requests,
                tokens = state.tokens,
                actions = state.actions,
                executions = state.executions.values.sumOf { it.toLong() },
                faults = state.faults,
                reconnects = state.reconnects,
                whole = state.whole,
                refused = state.refused,
                resumed = waits.totalCount,
                resumeP50Millis = waits.getValueAtPercentile(P50) / MICROS_PER_MILLI,
                resumeP99Millis = waits.getValueAtPercentile(P99) / MICROS_PER_MILLI,
                violations = state.violations.map { ProcessViolation(seed, it) },
            )
        }
    }
}

/** A broken promise and the [seed] of the run that saw it. */
@Serializable
data class ProcessViolation(val seed: Long, val what: String)
