package org.bilberrycart.node

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.bilberrycart.http.CallerApi
import org.bilberrycart.http.HttpServer
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.pipeline.RingStats
import org.bilberrycart.settings.Endpoint
import org.bilberrycart.settings.Settings
import org.bilberrycart.timer.Ticker
import org.slf4j.LoggerFactory

/** One node: a started pipeline, its connections, its timer and the front end of callers. */
public class Node(
    private val settings: Settings,
    private val clock: Clock = Clock(),
    observer: NodeObserver = NodeObserver.None,
) : AutoCloseable {
    private val limits = settings.fleet.limits
    private val ports = NetworkPorts(settings.node)
    private val pipeline = Pipeline(settings, clock, ports, observer)
    private val ticker = Ticker(TICK_PERIOD, pipeline.ticks)
    private val server = HttpServer(
        endpoint = settings.node.callers,
        threads = limits.generations + SPARE_THREADS,
        headerBytes = limits.header,
        handler = CallerApi(pipeline.frontEnd, pipeline.callers).handler(),
    )

    /** Where callers connect, with the port that was taken. */
    public val callersEndpoint: Endpoint
        get() = server.bound

    /** The requests that were admitted and are not over. */
    public val inFlight: Int
        get() = pipeline.admission.requests.size

    /** Starts the duties, then the front end. */
    public fun start(): Node = apply {
        pipeline.start()
        pipeline.configure(settings.fleet)
        ticker.start()
        server.start()
        log.info("event=node_started vm={} callers={}", settings.node.vm, callersEndpoint)
    }

    /** Returns the counters of all rings. */
    public fun ringStats(): List<RingStats> = pipeline.ringStats

    /**
     * Stops the node gracefully: takes no new work and waits, at most the limit of the settings,
     * until no request is in progress. Returns whether all of them ended.
     */
    public fun drain(): Boolean {
        log.info("event=node_draining vm={} in_flight={}", settings.node.vm, inFlight)
        pipeline.drain()
        val deadline = clock.now() + limits.drain
        while (clock.now() < deadline && (inFlight > 0 || pipeline.callers.size > 0)) {
            Thread.sleep(DRAIN_POLL.inWholeMilliseconds)
        }
        return inFlight == 0
    }

    override fun close() {
        server.close()
        ticker.close()
        ports.close()
        pipeline.close()
        log.info("event=node_stopped vm={}", settings.node.vm)
    }

    private companion object {
        val TICK_PERIOD: Duration = 20.milliseconds
        val DRAIN_POLL: Duration = 50.milliseconds
        const val SPARE_THREADS = 64
    }
}

private val log = LoggerFactory.getLogger(Node::class.java)
