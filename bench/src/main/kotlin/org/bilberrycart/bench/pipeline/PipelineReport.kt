package org.bilberrycart.bench.pipeline

import kotlinx.serialization.Serializable

/**
 * The counts and violations of randomised runs of the pipeline.
 *
 * @property seeds the number of runs, one for each seed.
 * @property requests the number of generations that callers requested.
 * @property tokens the number of tokens that callers received.
 * @property faults the number of injected faults of callers and engines.
 * @property whole the number of answers that were completed.
 * @property refused the number of answers that ended with the code of a failure.
 * @property violations the checks that failed.
 */
@Serializable
data class PipelineReport(
    val seeds: Long = 0,
    val requests: Long = 0,
    val tokens: Long = 0,
    val faults: Long = 0,
    val whole: Long = 0,
    val refused: Long = 0,
    val violations: List<SeedViolation> = emptyList(),
) {
    /** Returns a report with the counts and violations of both reports. */
    operator fun plus(other: PipelineReport): PipelineReport = PipelineReport(
        seeds = seeds + other.seeds,
        requests = requests + other.requests,
        tokens = tokens + other.tokens,
        faults = faults + other.faults,
        whole = whole + other.whole,
        refused = refused + other.refused,
        violations = violations + other.violations,
    )
}

/** A violation, the [seed] whose run reproduces it, and the last lines of the run's [trace]. */
@Serializable
data class SeedViolation(val seed: Long, val violation: String, val trace: List<String>)
