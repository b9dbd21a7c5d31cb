package org.bilberrycart.bench.processes

import kotlin.time.DurationUnit
import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram

/**
 * The results of a run with real processes.
 *
 * @property minutes the duration of the load in minutes.
 * @property requests the number of generations, short questions and look-ups that were sent.
 * @property tokens the number of distinct tokens that callers received.
 * @property actions the number of actions that were sent.
 * @property executions the number of executions that the action service counted.
 * @property faults the number of faults that began, by the fault's name.
 * @property reconnects how often a caller reconnected to continue its answer.
 * @property whole the number of answers, look-ups and actions that reached their end.
 * @property refused the number of refusals, by result code.
 * @property resumed the number of times that a caller got a token after its node was killed.
 * @property resumeP50Millis the median time in milliseconds from the kill of a node to the next
 *   token of a caller that it served.
 * @property resumeP99Millis the 99th percentile of the same time, in milliseconds.
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

        /** Creates the report of a run that ended with [state]. */
        fun of(seed: Long, minutes: Double, state: ProcessRunState): ProcessReport {
            val waits = Histogram(DIGITS)
            state.resumeTimes.forEach { waits.recordValue(it.toLong(DurationUnit.MICROSECONDS)) }
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

/** A violated invariant and the [seed] of the run that found it. */
@Serializable
data class ProcessViolation(val seed: Long, val what: String)
