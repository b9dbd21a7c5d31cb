package org.bilberrycart.bench.load

import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.Serializable
import org.bilberrycart.bench.fleet.LocalFleet
import org.bilberrycart.bench.traffic.Caller
import org.bilberrycart.bench.traffic.LoadRun
import org.bilberrycart.bench.traffic.LoadTotals
import org.bilberrycart.bench.traffic.Meter
import org.bilberrycart.bench.traffic.Quantiles
import org.bilberrycart.bench.traffic.TrafficMeasure
import org.bilberrycart.settings.ServiceSettings
import org.bilberrycart.standins.engine.EngineFault

/** The kind of fault by which an engine is lost. */
enum class LossKind {
    /** The engine dies and restarts with empty state. */
    RESET,

    /** The open connections of the engine go silent for good; new ones work. */
    SILENCE,
}

/**
 * The times that callers waited for the next token after the loss of an engine.
 *
 * @property resume the time from the last token before the loss to the first one after it.
 * @property stepMillis the duration of one decode step of the engines, which [resume] includes.
 */
@Serializable
data class ResumeReport(
    val kind: LossKind,
    val losses: Int,
    val resume: Quantiles,
    val stepMillis: Double,
    val totals: LoadTotals,
)

/** Injects one loss of an engine after another under load and measures how long callers wait. */
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
                val faults = thread(name = "faults") { injectLosses(fleet, run, kind) }
                run.run(ANSWER_TIMEOUT).also { faults.join() }
            }
            meter.close()
            ResumeReport(
                kind = kind,
                losses = losses,
                resume = meter.quantiles(TrafficMeasure.RESUME),
                stepMillis = shape.stepMicros / MICROS_PER_MILLI,
                totals = totals,
            )
        }
    }

    private val losses: Int
        get() = (shape.seconds - shape.warmUpSeconds) / LOSS_INTERVAL_SECONDS

    private fun injectLosses(fleet: LocalFleet, run: LoadRun, kind: LossKind) {
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
            Thread.sleep(DOWN_MILLIS)
            if (kind == LossKind.RESET) engine.injectFault(EngineFault.Restart)
            Thread.sleep(LOSS_INTERVAL_SECONDS.seconds.inWholeMilliseconds - DOWN_MILLIS)
        }
    }

    private companion object {
        val ANSWER_TIMEOUT = 60.seconds
        const val LOSS_INTERVAL_SECONDS = 4
        const val DOWN_MILLIS = 1_500L
        const val MICROS_PER_MILLI = 1_000.0
    }
}
