package org.bilberrycart.bench.pipeline

import kotlinx.serialization.Serializable

/**
 * What randomised runs of the pipeline saw.
 *
 * @property requests the generations that were asked for.
 * @property tokens the tokens that callers got.
 * @property faults the faults that were brought about.
 * @property whole the answers that came to their end.
 * @property refused the answers that ended with a numbered result.
 * @property violations what was seen that must not be.
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
    /** Adds the counts of [other]. */
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

/** A violation, the [seed] that shows it and the end of the run's trace. */
@Serializable
data class SeedViolation(val seed: Long, val violation: String, val trace: List<String>)
