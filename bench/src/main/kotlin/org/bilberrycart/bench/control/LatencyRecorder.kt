package org.bilberrycart.bench.control

import kotlin.time.Duration
import kotlinx.serialization.Serializable
import org.HdrHistogram.ConcurrentHistogram

/** Records the durations of calls in a histogram; can be used from many threads. */
class LatencyRecorder {
    private val histogram = ConcurrentHistogram(HIGHEST_MICROS, SIGNIFICANT_DIGITS)

    /** Records a call that took [length]; lengths beyond 120 s count as 120 s. */
    fun add(length: Duration) =
        histogram.recordValue(length.inWholeMicroseconds.coerceIn(0, HIGHEST_MICROS))

    /** Returns the count and the percentiles of all calls recorded so far. */
    fun summary() = LatencySummary(
        count = histogram.totalCount,
        p50Millis = millisAt(percentile = 50.0),
        p99Millis = millisAt(percentile = 99.0),
        maxMillis = histogram.maxValue / MICROS_PER_MILLI,
    )

    private fun millisAt(percentile: Double) =
        histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI

    private companion object {
        const val HIGHEST_MICROS = 120_000_000L
        const val SIGNIFICANT_DIGITS = 3
        const val MICROS_PER_MILLI = 1_000.0
    }
}

/** The number of recorded calls, and percentiles of their durations in milliseconds. */
@Serializable
data class LatencySummary(
    val count: Long,
    val p50Millis: Double,
    val p99Millis: Double,
    val maxMillis: Double,
)
