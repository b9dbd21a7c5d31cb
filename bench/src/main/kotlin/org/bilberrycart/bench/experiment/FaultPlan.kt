package org.bilberrycart.bench.experiment

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.bilberrycart.standins.engine.EngineFault

/** A part of the schedule of faults. */
@Serializable
sealed class FaultPlan {
    /** One engine drawn at random dies each [everySeconds] and is away for [awaySeconds]. */
    @Serializable
    @SerialName("oneEngineDies")
    data class OneEngineDies(val everySeconds: Double, val awaySeconds: Double) : FaultPlan()

    /** The open connections of one engine drawn at random go silent each [everySeconds]. */
    @Serializable
    @SerialName("oneEngineSilent")
    data class OneEngineSilent(val everySeconds: Double) : FaultPlan()

    /** The part [share] of the engines dies at once and is away for [awaySeconds]. */
    @Serializable
    @SerialName("shareDies")
    data class ShareDies(val atSeconds: Double, val share: Double, val awaySeconds: Double) :
        FaultPlan()

    /** All engines of one data centre hang from [atSeconds] for [awaySeconds]. */
    @Serializable
    @SerialName("dataCentreHangs")
    data class DataCentreHangs(
        val dataCentre: String,
        val atSeconds: Double,
        val awaySeconds: Double,
    ) : FaultPlan()
}

/** One fault of engine number [engine] at [at] from the start. */
data class PlannedFault(val at: Duration, val engine: Int, val fault: EngineFault) {
    /** Whether streams on the engine have to go on elsewhere or over another connection. */
    val isLoss: Boolean
        get() = when (fault) {
            EngineFault.Die, EngineFault.Silence, EngineFault.Pause -> true
            EngineFault.Restart, EngineFault.Resume, EngineFault.Leave, EngineFault.EndEarly,
            is EngineFault.CrashOn,
            -> false
        }
}

/** Returns the faults of this experiment in order of time; the same ones each time. */
fun Experiment.schedule(): List<PlannedFault> {
    val random = Random(seed)
    return faults.flatMap { plan(it, random) }
        .filter { it.at < durationSeconds.seconds || !it.isLoss }
        .sortedBy { it.at }
}

private fun Experiment.plan(plan: FaultPlan, random: Random): List<PlannedFault> = when (plan) {
    is FaultPlan.OneEngineDies -> times(plan.everySeconds).flatMap {
        deaths(listOf(random.nextInt(engines)), it, plan.awaySeconds)
    }
    is FaultPlan.OneEngineSilent -> times(plan.everySeconds).map {
        PlannedFault(it.seconds, random.nextInt(engines), EngineFault.Silence)
    }
    is FaultPlan.ShareDies -> {
        val count = (engines * plan.share).toInt()
        val chosen = (0 until engines).shuffled(random).take(count)
        deaths(chosen, plan.atSeconds, plan.awaySeconds)
    }
    is FaultPlan.DataCentreHangs -> {
        val index = dataCentres.indexOf(plan.dataCentre)
        require(index >= 0) { "no data centre ${plan.dataCentre} in $dataCentres" }
        (index until engines step dataCentres.size).flatMap {
            val back = plan.atSeconds + plan.awaySeconds
            listOf(
                PlannedFault(plan.atSeconds.seconds, it, EngineFault.Pause),
                PlannedFault(back.seconds, it, EngineFault.Resume),
            )
        }
    }
}

private fun Experiment.times(every: Double): List<Double> =
    generateSequence(every / 2) { it + every }.takeWhile { it < durationSeconds }.toList()

private fun deaths(engines: List<Int>, at: Double, away: Double): List<PlannedFault> =
    engines.flatMap {
        listOf(
            PlannedFault(at.seconds, it, EngineFault.Die),
            PlannedFault((at + away).seconds, it, EngineFault.Restart),
        )
    }
