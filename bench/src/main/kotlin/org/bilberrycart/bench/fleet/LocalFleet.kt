package org.bilberrycart.bench.fleet

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.bilberrycart.bench.traffic.Arrival
import org.bilberrycart.bench.traffic.CallerTarget
import org.bilberrycart.bench.traffic.WriteLog
import org.bilberrycart.model.ModelRef
import org.bilberrycart.model.ServiceId
import org.bilberrycart.node.Node
import org.bilberrycart.settings.Endpoint
import org.bilberrycart.standins.engine.EngineStandIn

/**
 * Engines and nodes that run in this process, each on loopback ports of its own.
 *
 * @property writes when the engines wrote each token.
 */
class LocalFleet(private val plan: FleetPlan) : AutoCloseable {
    val writes: WriteLog = WriteLog()

    /** The engines, by number. */
    val engines: List<EngineStandIn> = plan.engines
        .mapIndexed { number, settings -> EngineStandIn(settings, writes.observer(number)).start() }

    /** Where callers reach the engines without a node. */
    val engineTarget: CallerTarget =
        CallerTarget.Engines(engines.map { Endpoint(LOOPBACK, it.port) })

    /** Starts the nodes of the plan before the engines. */
    fun startNodes(): LocalNodes {
        val settings = FleetSettingsBuilder(plan, engines.map { it.port })
        return LocalNodes(List(plan.nodes) { Node(settings.node(it)).start() })
    }

    override fun close() = engines.forEach { it.close() }

    companion object {
        /** The service that nodes of a local fleet offer. */
        val SERVICE: ServiceId = ServiceId("drafts")

        /** The models of [SERVICE]. */
        val MODELS: PersistentSet<ModelRef> = persistentSetOf(ModelRef(Arrival.MODEL))

        internal const val LOOPBACK = "127.0.0.1"
    }
}

/** Nodes that run in this process. */
class LocalNodes(private val nodes: List<Node>) : AutoCloseable {
    /** Where callers reach the nodes. */
    val target: CallerTarget =
        CallerTarget.Nodes(nodes.map { it.callersEndpoint }, LocalFleet.SERVICE)

    override fun close() = nodes.forEach { it.close() }
}
