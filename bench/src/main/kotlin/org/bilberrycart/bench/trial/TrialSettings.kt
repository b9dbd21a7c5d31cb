package org.bilberrycart.bench.trial

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap
import org.bilberrycart.decode.Digests
import org.bilberrycart.model.DataCentreId
import org.bilberrycart.model.ModelRef
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.ServiceId
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.model.VmId
import org.bilberrycart.settings.DataCentreSettings
import org.bilberrycart.settings.Endpoint
import org.bilberrycart.settings.FleetSettings
import org.bilberrycart.settings.NodeSettings
import org.bilberrycart.settings.OrganisationSettings
import org.bilberrycart.settings.ReplicaPolicy
import org.bilberrycart.settings.ServiceSettings
import org.bilberrycart.settings.Settings
import org.bilberrycart.settings.UpstreamSettings

/** Creates the settings of a node that runs in the same process as its engines, for trials. */
object TrialSettings {
    /** The organisation whose caller sends the request of a trial. */
    val ORGANISATION: OrganisationId = OrganisationId("trial")

    /** The service that the node of a trial offers. */
    val SERVICE: ServiceId = ServiceId("drafts")

    /** The model that the engines of a trial serve. */
    val MODEL: ModelRef = ModelRef("m")

    /** The API key of [ORGANISATION]. */
    const val KEY: String = "trial-key"

    private val DATA_CENTRE = DataCentreId("local")
    private const val LOOPBACK = "127.0.0.1"

    /** Returns the settings of a node whose engines listen on [enginePorts], with [slots] each. */
    fun settings(enginePorts: List<Int>, slots: Int): Settings = Settings(
        node = NodeSettings(
            vm = VmId("trial-1"),
            dataCentre = DATA_CENTRE,
            callers = ephemeralEndpoint(),
            operators = ephemeralEndpoint(),
            peers = ephemeralEndpoint(),
            operatorKeyHash = Digests.sha256Hex("trial-operator"),
        ),
        fleet = fleet(enginePorts, slots),
    )

    private fun fleet(enginePorts: List<Int>, slots: Int) = FleetSettings(
        dataCentres = persistentMapOf(DATA_CENTRE to DataCentreSettings(region = "local")),
        organisations = persistentMapOf(
            ORGANISATION to OrganisationSettings(
                keyHash = Digests.sha256Hex(KEY),
                services = persistentSetOf(SERVICE),
            ),
        ),
        services = persistentMapOf(
            SERVICE to ServiceSettings.Generation(
                models = persistentSetOf(MODEL),
                replica = ReplicaPolicy.RELEASE_ALONE,
            ),
        ),
        upstreams = enginePorts
            .mapIndexed { index, port -> UpstreamId("engine-$index") to engine(port, slots) }
            .toMap()
            .toPersistentMap(),
    )

    private fun engine(port: Int, slots: Int) = UpstreamSettings(
        address = LOOPBACK,
        port = port,
        dataCentre = DATA_CENTRE,
        services = persistentSetOf(SERVICE),
        models = persistentSetOf(MODEL),
        slots = slots,
    )

    private fun ephemeralEndpoint() = Endpoint(LOOPBACK, port = 0)
}
