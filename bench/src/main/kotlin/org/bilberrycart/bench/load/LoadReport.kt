package org.bilberrycart.bench.load

import kotlinx.serialization.Serializable

/** What `bilberrycart load` measured; the parts that were not asked for are null. */
@Serializable
data class LoadReport(
    val seed: Long,
    val latency: LatencyReport? = null,
    val saturation: List<LatencyReport> = emptyList(),
    val footprint: FootprintReport? = null,
    val resume: List<ResumeReport> = emptyList(),
) {
    /** Whether every answer that came was whole and its own. */
    val isKept: Boolean
        get() = latency?.isKept != false &&
            saturation.all { it.isKept } &&
            footprint?.totals?.isKept != false &&
            resume.all { it.totals.isKept }
}
