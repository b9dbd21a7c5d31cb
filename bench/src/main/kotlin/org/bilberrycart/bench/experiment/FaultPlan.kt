package org.bilberrycart.bench.experiment

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.bilberrycart.standins.engine.EngineFault

/** A rule for the faults of an experiment, from which [schedule] makes single faults. */
@Serializable
sealed class FaultPlan {
    /** Each [everySeconds], a random engine crashes and is down for [awaySeconds]. */
    @Serializable
    @SerialName("oneEngineDies")
    data class OneEngineDies(val everySeconds: Double, val awaySeconds: Double) : FaultPlan()

    /** Each [everySeconds], the open connections of a random engine go silent. */
    @Serializable
    @SerialName("oneEngineSilent")
    data class OneEngineSilent(val everySeconds: Double) : FaultPlan()

    /** The share [share] of the engines crashes at [atSeconds] and is down for [awaySeconds]. */
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

/** A fault of engine number [engine], at the time [at] from the start of the run. */
data class PlannedFault(val at: Duration, val engine: Int, val fault: EngineFault) {
    /** Whether the streams on the engine have to resume elsewhere or over another connection. */
    val isLoss: Boolean
        get() = when (fault) {
            EngineFault.Die, EngineFault.Silence, EngineFault.Pause -> true
            EngineFault.Restart, EngineFault.Resume, EngineFault.Leave, EngineFault.EndEarly,
            is EngineFault.CrashOn,
            -> false
        }
}

/** Returns the faults of this experiment in order of time; they depend only on its settings. */
fun Experiment.schedule(): List<PlannedFault> {
    val random = Random(seed)
    return faults.flatMap { faultsOf(it, random) }
        .filter { it.at < durationSeconds.seconds || !it.isLoss }
        .sortedBy { it.at }
}

private fun Experiment.faultsOf(plan: FaultPlan, random: Random): List<PlannedFault> = when (plan) {
    is FaultPlan.OneEngineDies -> faultTimes(plan.everySeconds).flatMap {
        crashesAndRestarts(listOf(random.nextInt(engines)), it, plan.awaySeconds)
    }
    is FaultPlan.OneEngineSilent -> faultTimes(plan.everySeconds).map {
        PlannedFault(it.seconds, random.nextInt(engines), EngineFault.Silence)
    }
    is FaultPlan.ShareDies -> {
        val count = (engines * plan.share).toInt()
        val engineNumbers = (0 until engines).shuffled(random).take(count)
        crashesAndRestarts(engineNumbers, plan.atSeconds, plan.awaySeconds)
    }
    is FaultPlan.DataCentreHangs -> {
        val index = dataCentres.indexOf(plan.dataCentre)
        require(index >= 0) {
            "data centre ${plan.dataCentre} of a fault is not one of $dataCentres"
        }
        (index until engines step dataCentres.size).flatMap {
            val endSeconds = plan.atSeconds + plan.awaySeconds
            listOf(
                PlannedFault(plan.atSeconds.seconds, it, EngineFault.Pause),
                PlannedFault(endSeconds.seconds, it, EngineFault.Resume),
            )
        }
    }
}

private fun Experiment.faultTimes(every: Double): List<Double> =
    generateSequence(every / 2) { it + every }.takeWhile { it < durationSeconds }.toList()

private fun crashesAndRestarts(engines: List<Int>, at: Double, away: Double): List<PlannedFault> =
    engines.flatMap {
        listOf(
            PlannedFault(at.seconds, it, EngineFault.Die),
            PlannedFault((at + away).seconds, it, EngineFault.Restart),
        )
    }
