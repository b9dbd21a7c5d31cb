package org.bilberrycart.journal

import kotlin.time.Duration

/**
 * A running estimate of the gaps between tokens: mean and mean deviation, both smoothed.
 *
 * It is the estimator that TCP uses for its retransmission timeout (RFC 6298).
 */
internal data class GapEstimate(val mean: Duration, val deviation: Duration) {
    /** The silence that is unusual for this stream. */
    val limit: Duration
        get() = mean + deviation * DEVIATIONS

    fun observe(gap: Duration): GapEstimate {
        val error = gap - mean
        return GapEstimate(
            mean = mean + error * MEAN_GAIN,
            deviation = deviation + (error.absoluteValue - deviation) * DEVIATION_GAIN,
        )
    }

    companion object {
        private const val DEVIATIONS = 8
        private const val MEAN_GAIN = 0.125
        private const val DEVIATION_GAIN = 0.25

        fun first(gap: Duration): GapEstimate = GapEstimate(mean = gap, deviation = gap / 2)
    }
}
