package org.bilberrycart.bench.experiment

import org.bilberrycart.standins.engine.EngineCounters
import org.bilberrycart.standins.engine.EngineSettings

/**
 * What all engines computed, and what callers received of it.
 *
 * @property decoded tokens decoded.
 * @property prefilled prompt and prefix tokens computed, cached ones not counted.
 * @property resumePrefilled the part of [prefilled] for resumed streams.
 * @property delivered tokens that callers received.
 */
data class EngineWork(
    val decoded: Long = 0,
    val prefilled: Long = 0,
    val resumePrefilled: Long = 0,
    val delivered: Long = 0,
) {
    /** Returns what was done since [earlier]. */
    operator fun minus(earlier: EngineWork) = EngineWork(
        decoded = decoded - earlier.decoded,
        prefilled = prefilled - earlier.prefilled,
        resumePrefilled = resumePrefilled - earlier.resumePrefilled,
        delivered = delivered - earlier.delivered,
    )

    /**
     * Returns the engine time for tokens that no caller received and for prefill of resumes, in
     * percent of the time for the rest.
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
        /** Returns the work that [counters] of all engines show. */
        fun of(counters: List<EngineCounters>, delivered: Long) = EngineWork(
            decoded = counters.sumOf { it.tokens },
            prefilled = counters.sumOf { it.prefillTokens },
            resumePrefilled = counters.sumOf { it.resumePrefillTokens },
            delivered = delivered,
        )

        private const val PERCENT = 100.0
    }
}
