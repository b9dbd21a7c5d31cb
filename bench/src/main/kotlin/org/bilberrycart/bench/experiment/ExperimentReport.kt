package org.bilberrycart.bench.experiment

import kotlinx.serialization.Serializable
import org.bilberrycart.bench.traffic.LoadTotals
import org.bilberrycart.bench.traffic.Quantiles

/**
 * What callers saw under one policy, and what it cost.
 *
 * @property shortFirstToken the wait for the first token of short questions.
 * @property steadyFirstToken the same for organisations whose rate stays as it is.
 * @property extraPercent engine time spent on top of the useful work, in percent of it.
 * @property worstMinuteExtraPercent the highest of it in any one minute.
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

/** The policies of one experiment side by side; the first one is the baseline. */
@Serializable
data class ExperimentReport(
    val name: String,
    val seed: Long,
    val engineLosses: Int,
    val policies: List<PolicyReport>,
) {
    /** Whether every token that came was right and no answer ended after its deadline. */
    val isKept: Boolean
        get() = policies.all { it.totals.hasExactTokens && it.totals.late == 0 }
}
