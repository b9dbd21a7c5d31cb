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

/** One node: a started pipeline, its connections, its timer and the front end of callers. */
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
    private val ticker = Ticker(TICK_PERIOD, pipeline.ticks)
    private val flushTicker = Ticker(FLUSH_PERIOD, pipeline.flushTicks)
    private val server = HttpServer(
        endpoint = settings.node.callers,
        threads = limits.generations + SPARE_THREADS,
        headerBytes = limits.maxHeaderBytes,
        handler = CallerApi(pipeline.frontEnd, pipeline.callers).handler(),
    )

    /** Where callers connect, with the port that was taken. */
    public val callersEndpoint: Endpoint
        get() = server.bound

    /** Where operators connect, with the port that was taken. */
    public val operatorsEndpoint: Endpoint
        get() = operators.bound

    /** Where other nodes connect. */
    public val self: Member
        get() = pipeline.self

    /** The nodes that this one knows, itself not included. */
    public val members: List<MemberRecord>
        get() = pipeline.membership.records.values.toList()

    /** The requests that are not over: those admitted here and those taken over. */
    public val inFlight: Int
        get() = maxOf(pipeline.admission.requests.size, pipeline.journals.sumOf { it.size })

    /** Starts the duties, then the front end. */
    public fun start(): Node = apply {
        metrics.start()
        pipeline.start()
        configure(settings.fleet)
        control?.start(
            NodeControl.Users(
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
     * Stops the node gracefully: takes no new work and waits, at most the limit of the settings,
     * until no request is in progress; generations that run on are handed to other nodes. Returns
     * whether none is left.
     */
    public fun drain(): Boolean {
        log.info("event=node_draining vm={} in_flight={}", settings.node.vm, inFlight)
        pipeline.drain()
        if (!awaitIdle(limits.drainTimeout)) {
            pipeline.handOver()
            awaitIdle(HAND_OVER_LIMIT)
        }
        pipeline.leave()
        return inFlight == 0
    }

    private fun awaitIdle(limit: Duration): Boolean {
        val deadline = clock.now() + limit
        while (clock.now() < deadline && (inFlight > 0 || pipeline.callers.size > 0)) {
            Thread.sleep(DRAIN_POLL.inWholeMilliseconds)
        }
        return inFlight == 0
    }

    private fun configure(fleet: FleetSettings) {
        pipeline.configure(fleet)
        control?.declare(fleet)
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
        val HAND_OVER_LIMIT: Duration = 5.seconds
        val DRAIN_POLL: Duration = 50.milliseconds
        const val SPARE_THREADS = 64
    }
}

private val log = LoggerFactory.getLogger(Node::class.java)
