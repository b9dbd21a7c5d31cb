package org.bilberrycart.node

import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.bilberrycart.admission.AdmissionEvent
import org.bilberrycart.dispatch.UpstreamClient
import org.bilberrycart.health.HealthEvent
import org.bilberrycart.health.LoadClient
import org.bilberrycart.http.CallerApi
import org.bilberrycart.http.Callers
import org.bilberrycart.http.HttpServer
import org.bilberrycart.idempotency.IdempotencyEvent
import org.bilberrycart.journal.JournalEvent
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.pipeline.RingStats
import org.bilberrycart.platform.AbsentTableClient
import org.bilberrycart.platform.HttpTableClient
import org.bilberrycart.platform.PlatformEvent
import org.bilberrycart.release.ReleaseEvent
import org.bilberrycart.release.ReleaseSettings
import org.bilberrycart.replication.ReplicationEvent
import org.bilberrycart.routing.RoutingEvent
import org.bilberrycart.settings.Endpoint
import org.bilberrycart.settings.FleetSettings
import org.bilberrycart.settings.Settings
import org.bilberrycart.timer.Ticker
import org.slf4j.LoggerFactory

/** One node: the filters, a duty for each, the rings between them and the front end. */
public class Node(
    private val settings: Settings,
    private val clock: Clock = Clock(),
    observer: NodeObserver = NodeObserver.None,
) : AutoCloseable {
    private val fleet = AtomicReference(settings.fleet)
    private val limits = settings.fleet.limits
    private val releaseSettings = ReleaseSettings()
    private val rings = NodeRings(limits)
    private val callers = Callers(releaseSettings.outboxParts)
    private val loads = LoadClient(rings.health)
    private val sinks = NodeSinks(rings, callers, loads, observer, fleet::get)
    private val client = UpstreamClient(output = UpstreamRelay(rings))
    private val table =
        settings.node.platform?.let { HttpTableClient("http://$it") } ?: AbsentTableClient
    private val duties = NodeDuties(
        settings = settings.node,
        releaseSettings = releaseSettings,
        rings = rings,
        sinks = sinks,
        client = client,
        table = table,
        clock = clock,
        observer = observer,
    )
    private val server = HttpServer(
        endpoint = settings.node.callers,
        threads = limits.generations + SPARE_THREADS,
        headerBytes = limits.header,
        handler = CallerApi(PipelineFrontEnd(rings, clock, fleet::get), callers).handler(),
    )
    private val ticker = Ticker(TICK_PERIOD, targets())

    /** Where callers connect, with the port that was taken. */
    public val callersEndpoint: Endpoint
        get() = server.bound

    /** The requests that were admitted and are not over. */
    public val inFlight: Int
        get() = duties.admission.snapshot.requests.size

    /** Starts the duties, then the front end. */
    public fun start(): Node = apply {
        duties.start()
        configure(fleet.get())
        ticker.start()
        server.start()
        log.info("event=node_started vm={} callers={}", settings.node.vm, callersEndpoint)
    }

    /** Returns the counters of all rings. */
    public fun ringStats(): List<RingStats> = rings.stats()

    /**
     * Stops the node gracefully: takes no new work and waits, at most the limit of the settings,
     * until no request is in progress. Returns whether all of them ended.
     */
    public fun drain(): Boolean {
        log.info("event=node_draining vm={} in_flight={}", settings.node.vm, inFlight)
        rings.admission.put(AdmissionEvent.Drain)
        val deadline = clock.now() + limits.drain
        while (clock.now() < deadline && (inFlight > 0 || callers.size > 0)) {
            Thread.sleep(DRAIN_POLL.inWholeMilliseconds)
        }
        return inFlight == 0
    }

    override fun close() {
        server.close()
        ticker.close()
        client.close()
        loads.close()
        duties.close()
        table.close()
        log.info("event=node_stopped vm={}", settings.node.vm)
    }

    private fun configure(next: FleetSettings) {
        val routing = next.routingConfiguration()
        fleet.set(next)
        rings.routing.put(routing)
        rings.health.put(HealthEvent.Configured(routing.upstreams))
        val organisations = next.organisations.mapValues { it.value.limits }
        rings.admission.put(AdmissionEvent.Configured(organisations))
    }

    private fun targets(): List<Ticker.Target<*>> = listOf(
        Ticker.Target(rings.admission, AdmissionEvent.Tick),
        Ticker.Target(rings.idempotency, IdempotencyEvent.Tick),
        Ticker.Target(rings.routing, RoutingEvent.Tick),
        Ticker.Target(rings.health, HealthEvent.Tick),
        Ticker.Target(rings.platform, PlatformEvent.Tick),
    ) +
        rings.journal.rings.map { Ticker.Target(it, JournalEvent.Tick) } +
        rings.replication.rings.map { Ticker.Target(it, ReplicationEvent.Tick) } +
        rings.release.rings.map { Ticker.Target(it, ReleaseEvent.Tick) }

    private companion object {
        val TICK_PERIOD: Duration = 20.milliseconds
        val DRAIN_POLL: Duration = 50.milliseconds
        const val SPARE_THREADS = 64
        val log = LoggerFactory.getLogger(Node::class.java)
    }
}
