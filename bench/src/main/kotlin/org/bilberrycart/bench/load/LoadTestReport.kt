package org.bilberrycart.bench.load

import kotlinx.serialization.Serializable

/** What `bilberrycart load` measured; the parts that were not asked for are null. */
@Serializable
data class LoadTestReport(
    val seed: Long,
    val latency: LatencyReport? = null,
    val saturation: List<LatencyReport> = emptyList(),
    val footprint: FootprintReport? = null,
    val resume: List<ResumeReport> = emptyList(),
) {
    /** Whether every answer that came was whole and its own. */
    val hasExactTokens: Boolean
        get() = latency?.hasExactTokens != false &&
            saturation.all { it.hasExactTokens } &&
            footprint?.totals?.hasExactTokens != false &&
            resume.all { it.totals.hasExactTokens }
}
