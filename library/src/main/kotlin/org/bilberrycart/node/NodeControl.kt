package org.bilberrycart.node

import java.util.concurrent.atomic.AtomicReference
import kotlinx.collections.immutable.toPersistentMap
import org.bilberrycart.configuration.ConfigurationDocument
import org.bilberrycart.configuration.ConfigurationEvent
import org.bilberrycart.idempotency.IdempotencyEvent
import org.bilberrycart.model.VmId
import org.bilberrycart.orders.OrdersEvent
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.replication.VerdictStore
import org.bilberrycart.settings.Endpoint
import org.bilberrycart.settings.FleetSettings
import org.bilberrycart.settings.NodeSettings
import org.bilberrycart.settings.SettingsFile
import org.bilberrycart.settings.SettingsReader
import org.bilberrycart.settings.SettingsResult
import org.bilberrycart.store.HttpTableClient
import org.bilberrycart.store.PlatformEvent
import org.bilberrycart.store.StoreResult
import org.slf4j.LoggerFactory

/** Runs the control duties of a node and connects them to its pipeline. */
internal class NodeControl(settings: NodeSettings, platform: Endpoint, clock: Clock) :
    ControlOutput,
    AutoCloseable {
    private val table = HttpTableClient("http://$platform")
    private val duties = ControlDuties(settings.vm, table, output = this, clock = clock)
    private val callbacks = AtomicReference<Callbacks>()

    /** The functions of the pipeline that receive store results and adopted configurations. */
    class Callbacks(
        val idempotency: (IdempotencyEvent) -> Unit,
        val verdict: (VerdictStore.Context, StoreResult) -> Unit,
        val configure: (FleetSettings) -> Unit,
        val announce: (Long) -> Unit,
    )

    @Volatile private var isConfigured = false

    /** The version of the configuration in force; 0 while it is that of the settings folder. */
    val version: Long
        get() = duties.configuration.snapshot.version

    /**
     * Whether the configuration allows the node to accept new work: one was adopted, or the
     * platform answered that it has none yet, so that the settings folder stays in force.
     */
    val isReady: Boolean
        get() = isConfigured ||
            duties.configuration.snapshot.let {
                it.reads > 0 && it.lastContactAt.isPositive() && it.knownVersion == 0L
            }

    /** Starts the duties; their results are passed to [callbacks]. */
    fun start(callbacks: Callbacks) {
        this.callbacks.set(callbacks)
        duties.start()
    }

    /** Reports that another node has configuration [version] in force. */
    fun versionAnnounced(version: Long) {
        duties.rings.configuration.offer(ConfigurationEvent.VersionAccepted(version))
    }

    /** Submits [call] to the platform duty. */
    fun submit(call: PlatformEvent.Call) {
        duties.rings.platform.put(call)
    }

    /** Passes the upstreams and maintenance plans of [fleet] to the orders duty. */
    fun configureOrders(fleet: FleetSettings) {
        val upstreams = fleet.upstreams.mapValues { (id, upstream) -> upstream.toUpstream(id) }
        duties.rings.orders.put(
            OrdersEvent.Configured(upstreams.toPersistentMap(), fleet.maintenancePlans),
        )
    }

    override fun adopt(document: ConfigurationDocument) {
        val file = SettingsFile("version-${document.version}.json", document.text)
        when (val result = SettingsReader.readFleet(listOf(file))) {
            is SettingsResult.Valid -> {
                callbacks.get().configure(result.settings)
                log.info("event=configuration_adopted version={}", document.version)
            }
            is SettingsResult.Invalid ->
                log.error("event=configuration_invalid version={}", document.version)
        }
    }

    override fun announce(version: Long): Unit = callbacks.get().announce(version)

    override fun askPeer(peer: VmId): Unit = Unit

    override fun sendDocument(peer: VmId, document: ConfigurationDocument): Unit = Unit

    override fun readinessChanged(isReady: Boolean) {
        isConfigured = isReady
    }

    override fun idempotencyResult(event: IdempotencyEvent): Unit =
        callbacks.get().idempotency(event)

    override fun verdictResult(context: VerdictStore.Context, result: StoreResult): Unit =
        callbacks.get().verdict(context, result)

    override fun close() {
        duties.close()
        table.close()
    }
}

private val log = LoggerFactory.getLogger(NodeControl::class.java)
