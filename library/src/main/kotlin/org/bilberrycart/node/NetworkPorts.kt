package org.bilberrycart.node

import org.bilberrycart.dispatch.DispatchAction
import org.bilberrycart.dispatch.UpstreamClient
import org.bilberrycart.dispatch.UpstreamOutput
import org.bilberrycart.health.HealthEvent
import org.bilberrycart.health.LoadClient
import org.bilberrycart.model.Upstream
import org.bilberrycart.pipeline.Ring
import org.bilberrycart.pipeline.Sink
import org.bilberrycart.platform.AbsentTableClient
import org.bilberrycart.platform.HttpTableClient
import org.bilberrycart.platform.TableClient
import org.bilberrycart.settings.NodeSettings

/** The connections of one node. */
internal class NetworkPorts(settings: NodeSettings) : PipelinePorts {
    override val table: TableClient =
        settings.platform?.let { HttpTableClient("http://$it") } ?: AbsentTableClient

    private var opened: List<AutoCloseable> = listOf(table)

    override fun upstreams(output: UpstreamOutput): Sink<DispatchAction> =
        UpstreamClient(output = output).also { opened = opened + it }

    override fun loads(ring: Ring<HealthEvent>): Sink<Upstream> =
        LoadClient(ring).also { opened = opened + it }

    override fun close(): Unit = opened.forEach { it.close() }
}
