package org.bilberrycart.bench.experiment

import org.bilberrycart.standins.engine.EngineCounters
import org.bilberrycart.standins.engine.EngineSettings

/**
 * How many tokens all engines computed, and how many of them callers received.
 *
 * @property decoded tokens that engines decoded.
 * @property prefilled prompt and prefix tokens that engines computed, without cached ones.
 * @property resumePrefilled the part of [prefilled] that was for resumed streams.
 * @property delivered tokens that callers received.
 */
data class EngineWork(
    val decoded: Long = 0,
    val prefilled: Long = 0,
    val resumePrefilled: Long = 0,
    val delivered: Long = 0,
) {
    /** Returns the work done between [earlier] and this. */
    operator fun minus(earlier: EngineWork) = EngineWork(
        decoded = decoded - earlier.decoded,
        prefilled = prefilled - earlier.prefilled,
        resumePrefilled = resumePrefilled - earlier.resumePrefilled,
        delivered = delivered - earlier.delivered,
    )

    /**
     * Returns the engine time spent on tokens that no caller received and on the prefill of resumed
     * streams, in percent of the engine time for the rest; 0 if there is no rest.
     */
    fun extraPercent(settings: EngineSettings): Double {
        val decodeMicros = settings.stepTime(settings.slots).inWholeMicroseconds / settings.slots
        val wasted = (decoded - delivered).coerceAtLeast(0) * decodeMicros +
            resumePrefilled * settings.prefillMicros
        val useful = delivered * decodeMicros +
            (prefilled - resumePrefilled) * settings.prefillMicros
        return if (useful == 0L) 0.0 else PERCENT * wasted / useful
    }

    companion object {
        /** Returns the sum of the [counters] of all engines, with the [delivered] tokens. */
        fun of(counters: List<EngineCounters>, delivered: Long) = EngineWork(
            decoded = counters.sumOf { it.tokens },
            prefilled = counters.sumOf { it.prefillTokens },
            resumePrefilled = counters.sumOf { it.resumePrefillTokens },
            delivered = delivered,
        )

        private const val PERCENT = 100.0
    }
}
