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
import org.bilberrycart.platform.AbsentTableClient
import org.bilberrycart.platform.HttpTableClient
import org.bilberrycart.platform.TableClient
import org.bilberrycart.settings.NodeSettings

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
    override val table: TableClient =
        settings.platform?.let { HttpTableClient("http://$it") } ?: AbsentTableClient

    private var opened: List<AutoCloseable> = listOf(table)

    override fun upstreams(output: UpstreamOutput): Sink<DispatchAction> =
        UpstreamClient(output = output).also { opened = opened + it }

    override fun peers(inbound: Ring<PeerEvent>): PeerPort {
        val self = Member(
            vm = settings.vm,
            address = settings.peers.address,
            port = settings.peers.port,
            dataCentre = settings.dataCentre,
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
