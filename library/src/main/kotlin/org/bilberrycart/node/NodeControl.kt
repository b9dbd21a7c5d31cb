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

/** The part of a node that keeps to the platform: store calls, configuration, lease and orders. */
internal class NodeControl(settings: NodeSettings, platform: Endpoint, clock: Clock) :
    ControlOutput,
    AutoCloseable {
    private val table = HttpTableClient("http://$platform")
    private val duties = ControlDuties(settings.vm, table, output = this, clock = clock)
    private val users = AtomicReference<Users>()

    /** What the results of store calls and accepted configurations are handed to. */
    class Users(
        val idempotency: (IdempotencyEvent) -> Unit,
        val verdict: (VerdictStore.Context, StoreResult) -> Unit,
        val configure: (FleetSettings) -> Unit,
        val announce: (Long) -> Unit,
    )

    @Volatile private var isConfigured = false

    /** The version of the configuration in force; 0 while it is that of the folder. */
    val version: Long
        get() = duties.configuration.snapshot.version

    /**
     * Whether the node may take new work for the sake of its configuration: one was adopted, or the
     * platform says that there is none yet and that of the folder counts.
     */
    val isReady: Boolean
        get() = isConfigured ||
            duties.configuration.snapshot.let {
                it.reads > 0 && it.lastContactAt.isPositive() && it.knownVersion == 0L
            }

    /** Starts the duties; [users] get what they bring. */
    fun start(users: Users) {
        this.users.set(users)
        duties.start()
    }

    /** Hears that another node has [version] in force. */
    fun hear(version: Long) {
        duties.rings.configuration.offer(ConfigurationEvent.VersionAccepted(version))
    }

    /** Puts a call to the platform's table into its ring. */
    fun submit(call: PlatformEvent.Call) {
        duties.rings.platform.put(call)
    }

    /** Tells the holder of the lease what the configuration in force declares. */
    fun declare(fleet: FleetSettings) {
        val upstreams = fleet.upstreams.mapValues { (id, upstream) -> upstream.toUpstream(id) }
        duties.rings.orders.put(
            OrdersEvent.Configured(upstreams.toPersistentMap(), fleet.maintenancePlans),
        )
    }

    override fun adopt(document: ConfigurationDocument) {
        val file = SettingsFile("version-${document.version}.json", document.text)
        when (val result = SettingsReader.readFleet(listOf(file))) {
            is SettingsResult.Valid -> {
                users.get().configure(result.settings)
                log.info("event=configuration_adopted version={}", document.version)
            }
            is SettingsResult.Invalid ->
                log.error("event=configuration_invalid version={}", document.version)
        }
    }

    override fun announce(version: Long): Unit = users.get().announce(version)

    override fun askPeer(peer: VmId): Unit = Unit

    override fun sendDocument(peer: VmId, document: ConfigurationDocument): Unit = Unit

    override fun ready(isReady: Boolean) {
        isConfigured = isReady
    }

    override fun idempotency(event: IdempotencyEvent): Unit = users.get().idempotency(event)

    override fun verdict(context: VerdictStore.Context, result: StoreResult): Unit =
        users.get().verdict(context, result)

    override fun close() {
        duties.close()
        table.close()
    }
}

private val log = LoggerFactory.getLogger(NodeControl::class.java)
