package org.bilberrycart.bench.experiment

import kotlinx.serialization.Serializable
import org.bilberrycart.bench.traffic.LoadTotals
import org.bilberrycart.bench.traffic.Quantiles

/**
 * The latencies that callers saw under one policy, and its cost in engine time.
 *
 * @property shortFirstToken the time to the first token of short questions.
 * @property steadyFirstToken the same for the organisations whose rate does not surge.
 * @property extraPercent engine time beyond the useful work, in percent of the useful work.
 * @property worstMinuteExtraPercent the highest [extraPercent] of any minute.
 */
@Serializable
data class PolicyReport(
    val policy: String,
    val shortFirstToken: Quantiles,
    val steadyFirstToken: Quantiles,
    val firstToken: Quantiles,
    val interToken: Quantiles,
    val resume: Quantiles,
    val extraPercent: Double,
    val worstMinuteExtraPercent: Double,
    val totals: LoadTotals,
)

/**
 * The results of one experiment.
 *
 * @property engineLosses how many times a fault interrupted the streams of an engine, per policy.
 * @property policies the result under each policy; the first one is the baseline.
 */
@Serializable
data class ExperimentReport(
    val name: String,
    val seed: Long,
    val engineLosses: Int,
    val policies: List<PolicyReport>,
) {
    /** Whether no answer had missing, repeated or foreign tokens or ended after its deadline. */
    val isKept: Boolean
        get() = policies.all { it.totals.hasExactTokens && it.totals.late == 0 }
}
