package org.bilberrycart.bench.load

import kotlinx.serialization.Serializable

/** The results of `bilberrycart load`; parts that did not run are null or empty. */
@Serializable
data class LoadTestReport(
    val seed: Long,
    val latency: LatencyReport? = null,
    val saturation: List<LatencyReport> = emptyList(),
    val footprint: FootprintReport? = null,
    val resume: List<ResumeReport> = emptyList(),
) {
    /** Whether no answer had missing, repeated or foreign tokens. */
    val hasExactTokens: Boolean
        get() = latency?.hasExactTokens != false &&
            saturation.all { it.hasExactTokens } &&
            footprint?.totals?.hasExactTokens != false &&
            resume.all { it.totals.hasExactTokens }
}
