package org.bilberrycart.node

import org.bilberrycart.dispatch.DispatchAction
import org.bilberrycart.dispatch.DispatchClient
import org.bilberrycart.dispatch.UpstreamOutput
import org.bilberrycart.health.HealthEvent
import org.bilberrycart.health.LoadClient
import org.bilberrycart.membership.Member
import org.bilberrycart.model.Upstream
import org.bilberrycart.peer.PeerEvent
import org.bilberrycart.peer.PeerNode
import org.bilberrycart.peer.PeerSettings
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.pipeline.Ring
import org.bilberrycart.pipeline.Sink
import org.bilberrycart.settings.NodeSettings
import org.bilberrycart.store.PlatformEvent
import org.bilberrycart.store.StoreContext
import org.bilberrycart.store.StoreFailure
import org.bilberrycart.store.StoreResult

/**
 * Connects the pipeline of a node to the platform, to upstreams and to other nodes.
 *
 * @param peerSecret the secret shared by all nodes; without it the node has no links to others.
 */
internal class NetworkPorts(
    private val settings: NodeSettings,
    private val clock: Clock,
    private val peerSecret: String?,
) : PipelinePorts {
    /** The control duties of the node; null if the settings name no platform. */
    val control: NodeControl? = settings.platform?.let { NodeControl(settings, it, clock) }

    override val versions: VersionListener
        get() = VersionListener { control?.versionAnnounced(it) }

    private var closeables: List<AutoCloseable> = listOfNotNull(control)

    override fun store(results: (StoreContext, StoreResult) -> Unit): Sink<PlatformEvent.Call> =
        Sink { call ->
            val unavailable = StoreResult.Unavailable(StoreFailure.REFUSED)
            control?.submit(call) ?: results(call.context, unavailable)
        }

    override fun upstreams(output: UpstreamOutput): Sink<DispatchAction> =
        DispatchClient(output = output).also { closeables = closeables + it }

    override fun peers(inbound: Ring<PeerEvent>): PeerPort {
        val self = Member(
            vm = settings.vm,
            address = settings.peers.address,
            port = settings.peers.port,
            dataCentre = settings.dataCentre,
            processNumber = System.currentTimeMillis(),
        )
        if (peerSecret == null) return PeerPort(self) {}
        val peers = PeerNode(PeerSettings(self, peerSecret), inbound, clock = clock).start()
        closeables = closeables + peers
        return PeerPort(peers.self) { peers.commands.offer(it) }
    }

    override fun loads(ring: Ring<HealthEvent>): Sink<Upstream> =
        LoadClient(ring).also { closeables = closeables + it }

    override fun close(): Unit = closeables.forEach { it.close() }
}
