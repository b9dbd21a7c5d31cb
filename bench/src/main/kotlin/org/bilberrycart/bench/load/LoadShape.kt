package org.bilberrycart.bench.load

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.bench.fleet.FleetPlan
import org.bilberrycart.bench.traffic.Arrival
import org.bilberrycart.bench.traffic.TrafficClass
import org.bilberrycart.bench.traffic.TrafficPlan
import org.bilberrycart.model.RequestClass
import org.bilberrycart.settings.ServiceSettings
import org.bilberrycart.standins.engine.EngineSettings

/**
 * The shape of a steady load.
 *
 * @property streams the mean number of streams that are open at a time.
 * @property tokensPerSecond the tokens that all streams together receive each second.
 * @property seconds the time during which requests arrive.
 * @property warmUpSeconds the first part of [seconds], which is not measured.
 * @property slotFactor the number of slots of all engines, divided by [streams].
 */
data class LoadShape(
    val seed: Long,
    val streams: Int,
    val tokensPerSecond: Int,
    val seconds: Int,
    val warmUpSeconds: Int = WARM_UP_SECONDS,
    val engines: Int = ENGINES,
    val slotFactor: Double = SLOT_FACTOR,
) {
    private val tokensPerSecondPerStream: Double = tokensPerSecond.toDouble() / streams

    /** The duration of one decode step of the engines, in microseconds. */
    val stepMicros: Long = (MICROS_PER_SECOND / tokensPerSecondPerStream).toLong()

    /** The time since the start of the load in which samples count. */
    val window: ClosedRange<Duration> = warmUpSeconds.seconds..seconds.seconds

    /** Returns the plan of the engines and nodes that run this load. */
    fun fleet(service: ServiceSettings.Generation = FleetPlan.DEFAULT_SERVICE) = FleetPlan(
        engines = List(engines) { number ->
            EngineSettings(
                slots = (streams * slotFactor / engines).toInt(),
                stepMicros = stepMicros,
                stepMicrosPerStream = 0,
                prefillMicros = PREFILL_MICROS,
                seed = seed + number,
            )
        },
        organisations = listOf(ORGANISATION),
        service = service,
    )

    /** Returns the requests of this load. */
    fun arrivals(): List<Arrival> = TrafficPlan(
        seed = seed,
        durationSeconds = seconds.toDouble(),
        ratePerSecond = streams / MEAN_STREAM_SECONDS,
        organisations = mapOf(ORGANISATION to 1.0),
        classes = listOf(
            TrafficClass(
                requestClass = RequestClass.LONG_DRAFT,
                share = 1.0,
                medianTokens =
                (tokensPerSecondPerStream * LONGEST_STREAM_SECONDS).toInt().coerceAtLeast(1),
                longestTokens = Int.MAX_VALUE,
            ),
        ),
    ).arrivals()

    private companion object {
        const val ORGANISATION = "load"
        const val ENGINES = 4
        const val SLOT_FACTOR = 1.34
        const val WARM_UP_SECONDS = 10
        const val PREFILL_MICROS = 100L
        const val MICROS_PER_SECOND = 1_000_000.0

        /** An answer has between half and all of the tokens asked for, so it takes 5 to 10 s. */
        const val LONGEST_STREAM_SECONDS = 10.0
        const val MEAN_STREAM_SECONDS = 7.5
    }
}
