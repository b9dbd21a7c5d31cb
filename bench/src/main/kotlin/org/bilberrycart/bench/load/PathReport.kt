package org.bilberrycart.bench.load

import kotlinx.serialization.Serializable
import org.bilberrycart.bench.traffic.LoadTotals
import org.bilberrycart.bench.traffic.Quantiles

/**
 * The latencies that callers saw on one path, directly from the engines or through a node.
 *
 * @property transit the time from the write of a token by an engine until its caller receives it.
 * @property tokensPerSecond the tokens that callers received each second, over the measured window.
 */
@Serializable
data class PathReport(
    val transit: Quantiles,
    val firstToken: Quantiles,
    val interToken: Quantiles,
    val tokensPerSecond: Double,
    val totals: LoadTotals,
)

/** The transit time that a node adds, in milliseconds, as the difference of quantiles. */
@Serializable
data class AddedMillis(val p50: Double, val p99: Double, val max: Double)

/** The results of the same load on the direct path and through a node. */
@Serializable
data class LatencyReport(
    val streams: Int,
    val offeredTokensPerSecond: Int,
    val direct: PathReport,
    val node: PathReport,
    val added: AddedMillis,
) {
    /** Whether no answer had missing, repeated or foreign tokens. */
    val hasExactTokens: Boolean
        get() = direct.totals.hasExactTokens && node.totals.hasExactTokens
}
