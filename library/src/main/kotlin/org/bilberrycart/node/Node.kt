package org.bilberrycart.node

import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration.Companion.milliseconds
import org.bilberrycart.admission.AdmissionEvent
import org.bilberrycart.dispatch.UpstreamClient
import org.bilberrycart.http.CallerApi
import org.bilberrycart.http.Callers
import org.bilberrycart.http.HttpServer
import org.bilberrycart.journal.JournalEvent
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.pipeline.RingStats
import org.bilberrycart.release.ReleaseEvent
import org.bilberrycart.release.ReleaseSettings
import org.bilberrycart.replication.ReplicationEvent
import org.bilberrycart.routing.RoutingEvent
import org.bilberrycart.settings.Endpoint
import org.bilberrycart.settings.FleetSettings
import org.bilberrycart.settings.Settings
import org.bilberrycart.timer.Ticker

/** One node: the filters, a duty for each, the rings between them and the front end. */
public class Node(
    settings: Settings,
    clock: Clock = Clock(),
    observer: NodeObserver = NodeObserver.None,
) : AutoCloseable {
    private val fleet = AtomicReference(settings.fleet)
    private val limits = settings.fleet.limits
    private val releaseSettings = ReleaseSettings()
    private val rings = NodeRings(limits)
    private val callers = Callers(releaseSettings.outboxParts)
    private val sinks = NodeSinks(rings, callers, observer, fleet::get)
    private val client = UpstreamClient(output = UpstreamRelay(rings))
    private val duties = NodeDuties(
        dataCentre = settings.node.dataCentre,
        releaseSettings = releaseSettings,
        rings = rings,
        sinks = sinks,
        client = client,
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

    /** Starts the duties, then the front end. */
    public fun start(): Node = apply {
        duties.start()
        configure(fleet.get())
        ticker.start()
        server.start()
    }

    /** Returns the counters of all rings. */
    public fun ringStats(): List<RingStats> = rings.stats()

    override fun close() {
        server.close()
        ticker.close()
        client.close()
        duties.close()
    }

    private fun configure(next: FleetSettings) {
        fleet.set(next)
        rings.routing.put(next.routingConfiguration())
        rings.admission.put(
            AdmissionEvent.Configured(
                next.organisations.mapValues {
                    it.value.limits
                },
            ),
        )
    }

    private fun targets(): List<Ticker.Target<*>> = listOf(
        Ticker.Target(rings.admission, AdmissionEvent.Tick),
        Ticker.Target(rings.routing, RoutingEvent.Tick),
    ) +
        rings.journal.rings.map { Ticker.Target(it, JournalEvent.Tick) } +
        rings.replication.rings.map { Ticker.Target(it, ReplicationEvent.Tick) } +
        rings.release.rings.map { Ticker.Target(it, ReleaseEvent.Tick) }

    private companion object {
        val TICK_PERIOD = 20.milliseconds
        const val SPARE_THREADS = 64
    }
}
