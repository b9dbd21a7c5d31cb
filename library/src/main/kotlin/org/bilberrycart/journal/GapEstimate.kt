package org.bilberrycart.journal

import kotlin.time.Duration

/**
 * Exponentially smoothed mean and mean deviation of the gaps between tokens.
 *
 * This is the estimator that TCP uses for its retransmission timeout (RFC 6298).
 */
internal data class GapEstimate(val mean: Duration, val deviation: Duration) {
    /** The gap from which on the stream counts as silent. */
    val silenceLimit: Duration
        get() = mean + deviation * DEVIATION_MULTIPLE

    /** Returns this estimate updated with a measured [gap]. */
    fun observe(gap: Duration): GapEstimate {
        val error = gap - mean
        return GapEstimate(
            mean = mean + error * MEAN_GAIN,
            deviation = deviation + (error.absoluteValue - deviation) * DEVIATION_GAIN,
        )
    }

    companion object {
        private const val DEVIATION_MULTIPLE = 8
        private const val MEAN_GAIN = 0.125
        private const val DEVIATION_GAIN = 0.25

        /** Returns the estimate after the first measured [gap]. */
        fun first(gap: Duration): GapEstimate = GapEstimate(mean = gap, deviation = gap / 2)
    }
}
