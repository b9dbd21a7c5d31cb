package org.bilberrycart.bench.fleet

import org.bilberrycart.settings.ReplicaPolicy
import org.bilberrycart.settings.ServiceSettings
import org.bilberrycart.standins.engine.EngineSettings

/**
 * The nodes and engines that a run of the bench starts in its own process.
 *
 * @property engines the settings of each engine, by its number.
 * @property nodes how many nodes to start.
 * @property dataCentres the data centres; nodes and engines are spread over them in turn.
 * @property organisations the names of the organisations that may call.
 * @property service the policies under which the nodes serve [LocalFleet.SERVICE].
 */
data class FleetPlan(
    val engines: List<EngineSettings>,
    val nodes: Int = 1,
    val dataCentres: List<String> = listOf("local"),
    val organisations: Collection<String>,
    val service: ServiceSettings.Generation = DEFAULT_SERVICE,
) {
    companion object {
        /** One model; nodes may release tokens without a replica, as a node alone has no peers. */
        val DEFAULT_SERVICE: ServiceSettings.Generation = ServiceSettings.Generation(
            models = LocalFleet.MODELS,
            replica = ReplicaPolicy.RELEASE_ALONE,
        )
    }
}
