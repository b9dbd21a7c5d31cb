package org.bilberrycart.node

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.http.CallerApi
import org.bilberrycart.http.HttpServer
import org.bilberrycart.membership.Member
import org.bilberrycart.membership.MemberRecord
import org.bilberrycart.membership.PeerAddress
import org.bilberrycart.metrics.OperatorApi
import org.bilberrycart.metrics.OperatorChange
import org.bilberrycart.metrics.OperatorPort
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.pipeline.RingStats
import org.bilberrycart.settings.Endpoint
import org.bilberrycart.settings.FleetSettings
import org.bilberrycart.settings.Settings
import org.bilberrycart.timer.Ticker
import org.slf4j.LoggerFactory

/**
 * One node: the pipeline with its duties, connections and timers, and the HTTP servers for callers
 * and operators.
 *
 * @param peerSecret the secret shared by all nodes; without it the node has no links to others.
 */
public class Node(
    private val settings: Settings,
    private val clock: Clock = Clock(),
    peerSecret: String? = System.getenv(settings.node.peerSecretVariable),
) : AutoCloseable {
    private val limits = settings.fleet.limits
    private val ports = NetworkPorts(settings.node, clock, peerSecret)
    private val control = ports.control
    private val metrics: NodeMetrics = NodeMetrics(limits, clock) { ringStats() }
    private val pipeline = Pipeline(settings, clock, ports, observer = metrics)
    private val status = PipelineStatus(settings.node, pipeline, control, clock)
    private val operators = OperatorPort(
        endpoint = settings.node.operators,
        api = OperatorApi(status, ::change, settings.node.operatorKeyHash, metrics::scrape),
    )
    private val ticker = Ticker(TICK_PERIOD, pipeline.tickTargets)
    private val flushTicker = Ticker(FLUSH_PERIOD, pipeline.flushTickTargets)
    private val server = HttpServer(
        endpoint = settings.node.callers,
        threads = limits.generations + SPARE_THREADS,
        headerBytes = limits.maxHeaderBytes,
        handler = CallerApi(pipeline.frontEnd, pipeline.callers).handler(),
    )

    /** The endpoint for callers, with the port that was bound. */
    public val callersEndpoint: Endpoint
        get() = server.bound

    /** The endpoint for operators, with the port that was bound. */
    public val operatorsEndpoint: Endpoint
        get() = operators.bound

    /** This node as other nodes know it, with the endpoint for peers. */
    public val self: Member
        get() = pipeline.self

    /** The other nodes that this node knows. */
    public val members: List<MemberRecord>
        get() = pipeline.membership.records.values.toList()

    /** The number of requests in progress that were admitted here or taken over. */
    public val inFlight: Int
        get() = maxOf(pipeline.admission.requests.size, pipeline.journals.sumOf { it.size })

    /** Starts the duties and timers, then the servers for operators and callers. */
    public fun start(): Node = apply {
        metrics.start()
        pipeline.start()
        configure(settings.fleet)
        control?.start(
            NodeControl.Callbacks(
                idempotency = pipeline::idempotency,
                verdict = pipeline::storeResult,
                configure = ::configure,
                announce = pipeline::announce,
            ),
        )
        pipeline.discover(settings.node.seeds.map { PeerAddress(it.address, it.port) })
        ticker.start()
        flushTicker.start()
        operators.start()
        server.start()
        log.info("event=node_started vm={} callers={}", settings.node.vm, callersEndpoint)
    }

    /** Returns the counters of all rings. */
    public fun ringStats(): List<RingStats> = pipeline.ringStats

    /**
     * Drains the node: refuses new work and waits until no request is in progress.
     *
     * Generations that still run after the drain limit of the settings are handed over to other
     * nodes. Returns whether no request is left in progress.
     */
    public fun drain(): Boolean {
        log.info("event=node_draining vm={} in_flight={}", settings.node.vm, inFlight)
        pipeline.drain()
        if (!awaitIdle(limits.drainTimeout)) {
            pipeline.handOver()
            awaitIdle(HAND_OVER_TIMEOUT)
        }
        pipeline.leave()
        return inFlight == 0
    }

    private fun awaitIdle(limit: Duration): Boolean {
        val deadline = clock.now() + limit
        while (clock.now() < deadline && (inFlight > 0 || pipeline.callers.size > 0)) {
            Thread.sleep(DRAIN_POLL_INTERVAL.inWholeMilliseconds)
        }
        return inFlight == 0
    }

    private fun configure(fleet: FleetSettings) {
        pipeline.configure(fleet)
        control?.configureOrders(fleet)
    }

    private fun change(change: OperatorChange): Boolean = when (change) {
        OperatorChange.Drain -> {
            pipeline.drain()
            true
        }
        is OperatorChange.UpstreamLeaving -> pipeline.upstreamLeaving(change.upstream)
    }

    override fun close() {
        server.close()
        operators.close()
        ticker.close()
        flushTicker.close()
        ports.close()
        pipeline.close()
        metrics.close()
        log.info("event=node_stopped vm={}", settings.node.vm)
    }

    private companion object {
        val TICK_PERIOD: Duration = 20.milliseconds
        val FLUSH_PERIOD: Duration = 2.milliseconds
        val HAND_OVER_TIMEOUT: Duration = 5.seconds
        val DRAIN_POLL_INTERVAL: Duration = 50.milliseconds
        const val SPARE_THREADS = 64
    }
}

private val log = LoggerFactory.getLogger(Node::class.java)
