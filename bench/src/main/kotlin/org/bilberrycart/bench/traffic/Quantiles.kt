package org.bilberrycart.bench.traffic

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram

/**
 * The quantiles of one measure, in milliseconds.
 *
 * @property worstMinuteP95 the highest 95th percentile of a single minute.
 * @property worstMinuteP99 the highest 99th percentile of a single minute.
 */
@Serializable
data class Quantiles(
    val count: Long,
    val p50: Double,
    val p95: Double,
    val p99: Double,
    val max: Double,
    val worstMinuteP95: Double = p95,
    val worstMinuteP99: Double = p99,
) {
    companion object {
        /** Returns the quantiles of all [minutes], which are histograms in microseconds. */
        fun of(minutes: Collection<Histogram>): Quantiles {
            val total = newHistogram()
            minutes.forEach(total::add)
            return Quantiles(
                count = total.totalCount,
                p50 = total.millisAt(P50),
                p95 = total.millisAt(P95),
                p99 = total.millisAt(P99),
                max = total.maxValue / MICROS_PER_MILLI,
                worstMinuteP95 = minutes.maxOfOrNull { it.millisAt(P95) } ?: 0.0,
                worstMinuteP99 = minutes.maxOfOrNull { it.millisAt(P99) } ?: 0.0,
            )
        }

        /** Returns an empty histogram in microseconds. */
        internal fun newHistogram() = Histogram(SIGNIFICANT_DIGITS)

        private fun Histogram.millisAt(percentile: Double) =
            getValueAtPercentile(percentile) / MICROS_PER_MILLI

        private const val SIGNIFICANT_DIGITS = 3
        private const val P50 = 50.0
        private const val P95 = 95.0
        private const val P99 = 99.0
        private const val MICROS_PER_MILLI = 1_000.0
    }
}
