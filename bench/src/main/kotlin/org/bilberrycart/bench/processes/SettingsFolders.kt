package org.bilberrycart.bench.processes

import java.nio.file.Files
import java.nio.file.Path
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.json.Json
import org.bilberrycart.admission.OrganisationLimits
import org.bilberrycart.decode.Digests
import org.bilberrycart.model.DataCentreId
import org.bilberrycart.model.ModelRef
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RepeatMode
import org.bilberrycart.model.ServiceId
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.model.VmId
import org.bilberrycart.settings.DataCentreSettings
import org.bilberrycart.settings.EffectiveSettings
import org.bilberrycart.settings.Endpoint
import org.bilberrycart.settings.FleetSettings
import org.bilberrycart.settings.NodeSettings
import org.bilberrycart.settings.OrganisationSettings
import org.bilberrycart.settings.ServiceSettings
import org.bilberrycart.settings.Settings
import org.bilberrycart.settings.UpstreamSettings

/** Writes a settings folder for each node of a run, as a subfolder of [folder]. */
class SettingsFolders(private val folder: Path, private val ports: FleetPorts) {
    /** Writes the settings folder of the node [number] and returns its path. */
    fun write(number: Int): Path {
        val settings = Settings(node(number), fleet())
        val target = Files.createDirectories(folder.resolve("node-$number"))
        val text = Json.encodeToString(EffectiveSettings.toJson(settings))
        Files.writeString(target.resolve("00-all.json"), text)
        return target
    }

    private fun node(number: Int) = NodeSettings(
        vm = VmId("soak-$number"),
        dataCentre = dataCentreOf(number),
        callers = loopback(ports.callers[number]),
        operators = loopback(ports.operators[number]),
        peers = loopback(ports.peers[number]),
        seeds = ports.peers.filterIndexed { index, _ -> index != number }
            .map(::loopback).toPersistentList(),
        operatorKeyHash = Digests.sha256Hex("soak-operator"),
        platform = loopback(ports.platform),
    )

    private fun fleet() = FleetSettings(
        dataCentres = DATA_CENTRES.associateWith { DataCentreSettings(region = "local") }
            .toPersistentMap(),
        organisations = persistentMapOf(
            OrganisationId(ORGANISATION) to OrganisationSettings(
                keyHash = Digests.sha256Hex(KEY),
                services = persistentSetOf(DRAFTS, ACTIONS, CHECKS),
                limits = OrganisationLimits(concurrentGenerations = 400),
            ),
        ),
        services = persistentMapOf(
            DRAFTS to ServiceSettings.Generation(models = persistentSetOf(MODEL)),
            ACTIONS to ServiceSettings.Plain(repeatMode = RepeatMode.NEVER, attemptLimit = 1),
            CHECKS to ServiceSettings.Plain(repeatMode = RepeatMode.IDEMPOTENT),
        ),
        upstreams = (engines() + services()).toPersistentMap(),
    )

    private fun engines() = ports.engines.mapIndexed { index, port ->
        UpstreamId("engine-$index") to UpstreamSettings(
            address = LOOPBACK,
            port = port,
            dataCentre = dataCentreOf(index),
            services = persistentSetOf(DRAFTS),
            models = persistentSetOf(MODEL),
            slots = ProcessFleet.SLOTS,
        )
    }.toMap()

    private fun services() = listOf(ACTIONS, CHECKS).mapIndexed { index, service ->
        UpstreamId(service.value) to UpstreamSettings(
            address = LOOPBACK,
            port = ports.services[index],
            dataCentre = dataCentreOf(index),
            services = persistentSetOf(service),
            slots = ProcessFleet.SLOTS,
        )
    }.toMap()

    companion object {
        /** The organisation of all callers. */
        const val ORGANISATION = "soak"

        /** The API key of [ORGANISATION]. */
        const val KEY = "soak-key"

        /** The service that runs generations. */
        val DRAFTS = ServiceId("drafts")

        /** The service whose calls are never retried and run at most once. */
        val ACTIONS = ServiceId("booking")

        /** The service whose calls are idempotent and may be retried. */
        val CHECKS = ServiceId("slots")

        /** The model that all engines serve. */
        val MODEL = ModelRef("m")

        internal const val LOOPBACK = "127.0.0.1"
        private val DATA_CENTRES = listOf(DataCentreId("east"), DataCentreId("west"))

        private fun dataCentreOf(number: Int) = DATA_CENTRES[number % DATA_CENTRES.size]

        private fun loopback(port: Int) = Endpoint(LOOPBACK, port)
    }
}
