package org.bilberrycart.bench.experiment

import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.bilberrycart.bench.fleet.LocalFleet
import org.bilberrycart.bench.traffic.Surge
import org.bilberrycart.bench.traffic.TrafficClass
import org.bilberrycart.bench.traffic.TrafficPlan
import org.bilberrycart.journal.ResumePolicy
import org.bilberrycart.routing.RoutingPolicy
import org.bilberrycart.settings.ReplicaPolicy
import org.bilberrycart.settings.ServiceSettings
import org.bilberrycart.standins.engine.EngineSettings

/**
 * A repeatable experiment that runs the same load and faults under one policy after the other.
 *
 * @property question what the experiment is to find out.
 * @property seed the seed of the load, the faults and the engines.
 * @property nodes how many nodes run; they are spread over [dataCentres] in turn.
 * @property engines how many engines run with [engine]; they are spread over [dataCentres] in turn.
 * @property ratePerSecond the requests per second without surges.
 * @property organisations the organisations and their weights in the load.
 * @property policies the policies to compare; the first one is the baseline.
 */
@Serializable
data class Experiment(
    val name: String,
    val question: String,
    val seed: Long,
    val durationSeconds: Double,
    val dataCentres: List<String>,
    val nodes: Int = 4,
    val engines: Int,
    val engine: EngineSettings,
    val ratePerSecond: Double,
    val organisations: Map<String, Double>,
    val classes: List<TrafficClass>,
    val surges: List<Surge> = emptyList(),
    val faults: List<FaultPlan> = emptyList(),
    val policies: List<PolicyPlan>,
) {
    init {
        require(policies.isNotEmpty()) { "policies must not be empty" }
        require(engines > 0) { "engines must be positive, got $engines" }
    }

    /** The load, which is the same under each policy. */
    val traffic: TrafficPlan
        get() = TrafficPlan(
            seed = seed,
            durationSeconds = durationSeconds,
            ratePerSecond = ratePerSecond,
            organisations = organisations,
            classes = classes,
            surges = surges,
        )

    companion object {
        private val format = Json {
            allowComments = true
            allowTrailingComma = true
        }

        /** Reads an experiment, in JSON with comments, from [file]. */
        fun read(file: Path): Experiment = format.decodeFromString(file.readText())
    }
}

/**
 * A set of policies under which an experiment runs.
 *
 * The properties mean the same as those of [ServiceSettings.Generation].
 */
@Serializable
data class PolicyPlan(
    val name: String,
    val routing: RoutingPolicy = RoutingPolicy.RoundRobin,
    val resume: ResumePolicy = ResumePolicy.SingleEngine,
    val silenceFloorMillis: Long = 300,
    val silenceCapMillis: Long = 3_000,
    val reserveShare: Double = 0.0,
    val attemptLimit: Int = 12,
) {
    /** Returns the settings of a service that follows these policies. */
    fun toService(): ServiceSettings.Generation = ServiceSettings.Generation(
        models = LocalFleet.MODELS,
        routing = routing,
        resume = resume,
        silenceFloor = silenceFloorMillis.milliseconds,
        silenceCap = silenceCapMillis.milliseconds,
        reserveShare = reserveShare,
        replica = ReplicaPolicy.RELEASE_ALONE,
        attemptLimit = attemptLimit,
    )
}
