package org.bilberrycart.bench.load

import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.Serializable
import org.bilberrycart.bench.fleet.LocalFleet
import org.bilberrycart.bench.traffic.Caller
import org.bilberrycart.bench.traffic.LoadRun
import org.bilberrycart.bench.traffic.LoadTotals
import org.bilberrycart.bench.traffic.Measure
import org.bilberrycart.bench.traffic.Meter
import org.bilberrycart.bench.traffic.Quantiles
import org.bilberrycart.settings.ServiceSettings
import org.bilberrycart.standins.engine.EngineFault

/** How an engine is lost in a measurement of resume latency. */
enum class LossKind {
    /** The engine dies and comes back empty. */
    RESET,

    /** Its open connections go silent for good; new ones work. */
    SILENCE,
}

/**
 * The waits of callers over the loss of an engine.
 *
 * @property resume from the last token before the loss to the first one after it.
 * @property stepMillis the engines' own time between tokens, which [resume] includes.
 */
@Serializable
data class ResumeReport(
    val kind: LossKind,
    val losses: Int,
    val resume: Quantiles,
    val stepMillis: Double,
    val totals: LoadTotals,
)

/** Loses one engine after the other under load and measures how long callers wait. */
class ResumeMeasurement(
    private val shape: LoadShape,
    private val service: ServiceSettings.Generation,
) {
    /** Runs the load with losses of [kind]. */
    fun run(kind: LossKind): ResumeReport = LocalFleet(shape.fleet(service)).use { fleet ->
        fleet.startNodes().use { nodes ->
            val meter = Meter()
            val totals = Caller().use { caller ->
                val run = LoadRun(shape.arrivals(), nodes.target, caller, meter, fleet.writes)
                val faults = thread(name = "faults") { lose(fleet, run, kind) }
                run.run(PATIENCE).also { faults.join() }
            }
            meter.close()
            ResumeReport(
                kind = kind,
                losses = losses,
                resume = meter.quantiles(Measure.RESUME),
                stepMillis = shape.stepMicros / MICROS_PER_MILLI,
                totals = totals,
            )
        }
    }

    private val losses: Int
        get() = (shape.seconds - shape.warmUpSeconds) / SECONDS_PER_LOSS

    private fun lose(fleet: LocalFleet, run: LoadRun, kind: LossKind) {
        val random = Random(shape.seed)
        Thread.sleep(shape.warmUpSeconds.seconds.inWholeMilliseconds)
        repeat(losses) {
            val number = random.nextInt(fleet.engines.size)
            val engine = fleet.engines[number]
            run.engineLost(number)
            when (kind) {
                LossKind.RESET -> engine.injectFault(EngineFault.Die)
                LossKind.SILENCE -> engine.injectFault(EngineFault.Silence)
            }
            Thread.sleep(AWAY_MILLIS)
            if (kind == LossKind.RESET) engine.injectFault(EngineFault.Restart)
            Thread.sleep(SECONDS_PER_LOSS.seconds.inWholeMilliseconds - AWAY_MILLIS)
        }
    }

    private companion object {
        val PATIENCE = 60.seconds
        const val SECONDS_PER_LOSS = 4
        const val AWAY_MILLIS = 1_500L
        const val MICROS_PER_MILLI = 1_000.0
    }
}
