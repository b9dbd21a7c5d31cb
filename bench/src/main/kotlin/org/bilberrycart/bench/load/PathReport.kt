package org.bilberrycart.bench.load

import kotlinx.serialization.Serializable
import org.bilberrycart.bench.traffic.LoadTotals
import org.bilberrycart.bench.traffic.Quantiles

/**
 * What callers saw on one path, directly from the engines or through a node.
 *
 * @property transit from an engine's write of a token to its caller's receipt.
 * @property tokensPerSecond tokens that callers received in each second of the measured window.
 */
@Serializable
data class PathReport(
    val transit: Quantiles,
    val firstToken: Quantiles,
    val interToken: Quantiles,
    val tokensPerSecond: Double,
    val totals: LoadTotals,
)

/** The time that the node adds to each token, in milliseconds: a difference of quantiles. */
@Serializable
data class AddedMillis(val p50: Double, val p99: Double, val max: Double)

/** The same load directly and through a node, in one run. */
@Serializable
data class LatencyReport(
    val streams: Int,
    val offeredTokensPerSecond: Int,
    val direct: PathReport,
    val node: PathReport,
    val added: AddedMillis,
) {
    /** Whether every answer that came was whole and its own. */
    val hasExactTokens: Boolean
        get() = direct.totals.hasExactTokens && node.totals.hasExactTokens
}
