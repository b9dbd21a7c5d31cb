package org.bilberrycart.bench.load

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.bench.fleet.FleetPlan
import org.bilberrycart.bench.traffic.Arrival
import org.bilberrycart.bench.traffic.ClassMix
import org.bilberrycart.bench.traffic.TrafficPlan
import org.bilberrycart.model.RequestClass
import org.bilberrycart.settings.ServiceSettings
import org.bilberrycart.standins.engine.EngineSettings

/**
 * The shape of a steady load: how many streams are open at a time and how fast they run together.
 *
 * @property seconds how long requests arrive.
 * @property warmUpSeconds the part of it that is not measured.
 * @property spareSlots the slots of the engines over those that the mean load takes.
 */
data class LoadShape(
    val seed: Long,
    val streams: Int,
    val tokensPerSecond: Int,
    val seconds: Int,
    val warmUpSeconds: Int = WARM_UP_SECONDS,
    val engines: Int = ENGINES,
    val spareSlots: Double = SPARE_SLOTS,
) {
    private val pace: Double = tokensPerSecond.toDouble() / streams

    /** The time of one decode step of the engines. */
    val stepMicros: Long = (MICROS_PER_SECOND / pace).toLong()

    /** The times at which samples count. */
    val window: ClosedRange<Duration> = warmUpSeconds.seconds..seconds.seconds

    /** Returns the engines and the node for this load. */
    fun fleet(service: ServiceSettings.Generation = FleetPlan.DEFAULT_SERVICE) = FleetPlan(
        engines = List(engines) { number ->
            EngineSettings(
                slots = (streams * spareSlots / engines).toInt(),
                stepMicros = stepMicros,
                stepMicrosPerStream = 0,
                prefillMicros = PREFILL_MICROS,
                seed = seed + number,
            )
        },
        organisations = listOf(ORGANISATION),
        service = service,
    )

    /** Returns the arrivals of this load. */
    fun arrivals(): List<Arrival> = TrafficPlan(
        seed = seed,
        durationSeconds = seconds.toDouble(),
        ratePerSecond = streams / MEAN_STREAM_SECONDS,
        organisations = mapOf(ORGANISATION to 1.0),
        classes = listOf(
            ClassMix(
                requestClass = RequestClass.LONG_DRAFT,
                share = 1.0,
                medianTokens = (pace * LONGEST_STREAM_SECONDS).toInt().coerceAtLeast(1),
                longestTokens = Int.MAX_VALUE,
            ),
        ),
    ).arrivals()

    private companion object {
        const val ORGANISATION = "load"
        const val ENGINES = 4
        const val SPARE_SLOTS = 1.34
        const val WARM_UP_SECONDS = 10
        const val PREFILL_MICROS = 100L
        const val MICROS_PER_SECOND = 1_000_000.0

        /** An answer has between half and all of the tokens asked for. */
        const val LONGEST_STREAM_SECONDS = 10.0
        const val MEAN_STREAM_SECONDS = 7.5
    }
}
