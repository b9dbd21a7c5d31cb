package org.bilberrycart.bench.fleet

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap
import org.bilberrycart.admission.OrganisationLimits
import org.bilberrycart.bench.traffic.Caller
import org.bilberrycart.decode.Digests
import org.bilberrycart.model.DataCentreId
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.model.VmId
import org.bilberrycart.settings.DataCentreSettings
import org.bilberrycart.settings.Endpoint
import org.bilberrycart.settings.FleetSettings
import org.bilberrycart.settings.LimitSettings
import org.bilberrycart.settings.NodeSettings
import org.bilberrycart.settings.OrganisationSettings
import org.bilberrycart.settings.Settings
import org.bilberrycart.settings.UpstreamSettings

/** Creates the settings of the nodes of [plan], whose engines listen on [enginePorts]. */
internal class FleetSettingsBuilder(
    private val plan: FleetPlan,
    private val enginePorts: List<Int>,
) {
    private val fleet = FleetSettings(
        dataCentres = plan.dataCentres
            .associate { DataCentreId(it) to DataCentreSettings(region = "local") }
            .toPersistentMap(),
        organisations = plan.organisations.associate(::organisation).toPersistentMap(),
        services = persistentMapOf(LocalFleet.SERVICE to plan.service),
        upstreams = upstreams(),
        limits = LimitSettings(streamsPerOrganisation = MAX_STREAMS, generations = MAX_STREAMS),
    )

    /** Returns the settings of node [number]; the system chooses its ports. */
    fun node(number: Int): Settings = Settings(
        node = NodeSettings(
            vm = VmId("bench-$number"),
            dataCentre = dataCentre(number),
            callers = ephemeralEndpoint(),
            operators = ephemeralEndpoint(),
            peers = ephemeralEndpoint(),
            operatorKeyHash = Digests.sha256Hex("operator-key"),
        ),
        fleet = fleet,
    )

    private fun organisation(name: String) = OrganisationId(name) to OrganisationSettings(
        keyHash = Digests.sha256Hex(Caller.apiKeyOf(name)),
        services = persistentSetOf(LocalFleet.SERVICE),
        limits = UNLIMITED,
    )

    private fun upstreams(): PersistentMap<UpstreamId, UpstreamSettings> = enginePorts
        .mapIndexed { number, port -> UpstreamId("engine-$number") to engine(number, port) }
        .toMap()
        .toPersistentMap()

    private fun engine(number: Int, port: Int) = UpstreamSettings(
        address = LocalFleet.LOOPBACK,
        port = port,
        dataCentre = dataCentre(number),
        services = persistentSetOf(LocalFleet.SERVICE),
        models = LocalFleet.MODELS,
        slots = plan.engines[number].slots,
    )

    private fun dataCentre(number: Int) =
        DataCentreId(plan.dataCentres[number % plan.dataCentres.size])

    private fun ephemeralEndpoint() = Endpoint(LocalFleet.LOOPBACK, port = 0)

    private companion object {
        const val MAX_STREAMS = 4_000
        val UNLIMITED = OrganisationLimits(
            requestsPerSecond = 10_000.0,
            concurrentGenerations = MAX_STREAMS,
            tokensPerMinute = 1_000_000_000,
        )
    }
}
