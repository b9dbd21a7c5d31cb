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
 * Runs the engines of [plan], and on demand its nodes, in this process.
 *
 * Each has loopback ports of its own. Closing the fleet stops the engines but not the nodes.
 *
 * @property writes records when the engines wrote each token.
 */
class LocalFleet(private val plan: FleetPlan) : AutoCloseable {
    val writes: WriteLog = WriteLog()

    /** The running engines, by number. */
    val engines: List<EngineStandIn> = plan.engines
        .mapIndexed { number, settings -> EngineStandIn(settings, writes.observer(number)).start() }

    /** The engines as the target of callers that bypass the nodes. */
    val engineTarget: CallerTarget =
        CallerTarget.Engines(engines.map { Endpoint(LOOPBACK, it.port) })

    /** Starts the nodes of the plan, which dispatch to the engines. */
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

/** Nodes that run in this process; closing this closes them. */
class LocalNodes(private val nodes: List<Node>) : AutoCloseable {
    /** The nodes as the target of callers. */
    val target: CallerTarget =
        CallerTarget.Nodes(nodes.map { it.callersEndpoint }, LocalFleet.SERVICE)

    override fun close() = nodes.forEach { it.close() }
}
