package org.bilberrycart.node

import org.bilberrycart.dispatch.DispatchAction
import org.bilberrycart.dispatch.UpstreamClient
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
 * The connections of one node.
 *
 * @param peerSecret the secret shared by the nodes; a node without it has no peers.
 */
internal class NetworkPorts(
    private val settings: NodeSettings,
    private val clock: Clock,
    private val peerSecret: String?,
) : PipelinePorts {
    /** The platform side of the node; null for a node without a platform. */
    val control: NodeControl? = settings.platform?.let { NodeControl(settings, it, clock) }

    override val versions: VersionListener
        get() = VersionListener { control?.hear(it) }

    private var opened: List<AutoCloseable> = listOfNotNull(control)

    override fun store(results: (StoreContext, StoreResult) -> Unit): Sink<PlatformEvent.Call> =
        Sink { call ->
            val absent = StoreResult.Unavailable(StoreFailure.REFUSED)
            control?.submit(call) ?: results(call.context, absent)
        }

    override fun upstreams(output: UpstreamOutput): Sink<DispatchAction> =
        UpstreamClient(output = output).also { opened = opened + it }

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
        opened = opened + peers
        return PeerPort(peers.self) { peers.commands.offer(it) }
    }

    override fun loads(ring: Ring<HealthEvent>): Sink<Upstream> =
        LoadClient(ring).also { opened = opened + it }

    override fun close(): Unit = opened.forEach { it.close() }
}
