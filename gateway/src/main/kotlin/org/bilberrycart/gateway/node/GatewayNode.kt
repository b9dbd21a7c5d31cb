package org.bilberrycart.gateway.node

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.gateway.discovery.DiscoveryAction
import org.bilberrycart.gateway.discovery.DiscoveryEvent
import org.bilberrycart.gateway.discovery.DiscoveryFilter
import org.bilberrycart.gateway.discovery.DiscoveryState
import org.bilberrycart.gateway.discovery.RowReader
import org.bilberrycart.gateway.discovery.StoreClient
import org.bilberrycart.gateway.entry.EntryEvent
import org.bilberrycart.gateway.entry.EntryFilter
import org.bilberrycart.gateway.entry.EntryState
import org.bilberrycart.gateway.http.CallProtocol
import org.bilberrycart.gateway.http.CallerHandler
import org.bilberrycart.gateway.http.GatewayHttpServer
import org.bilberrycart.gateway.http.HttpClients
import org.bilberrycart.gateway.http.OpenExchanges
import org.bilberrycart.gateway.http.StatusHandler
import org.bilberrycart.gateway.http.UpstreamClient
import org.bilberrycart.gateway.lifecycle.LifecycleEvent
import org.bilberrycart.gateway.lifecycle.LifecycleFilter
import org.bilberrycart.gateway.lifecycle.LifecycleState
import org.bilberrycart.gateway.metrics.CountingAsyncAppender
import org.bilberrycart.gateway.metrics.GatewayMetrics
import org.bilberrycart.gateway.metrics.ServiceRetryUse
import org.bilberrycart.gateway.model.RequestLimits
import org.bilberrycart.gateway.placement.PlacementEvent
import org.bilberrycart.gateway.placement.PlacementFilter
import org.bilberrycart.gateway.placement.PlacementState
import org.bilberrycart.gateway.records.RecordStore
import org.bilberrycart.gateway.relay.RelayFilter
import org.bilberrycart.gateway.relay.RelayState
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.timer.Ticker
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler

/**
 * A gateway node between callers and upstreams: its filters, their rings, sources and sinks.
 *
 * @property onFailed called once a thread of the node has ended by an error. The node has said by
 *   then that it is not ready; the process has to end, since nothing takes over the work of the
 *   thread and its state can't be trusted.
 */
public class GatewayNode(
    private val settings: GatewaySettings,
    protocol: CallProtocol,
    store: StoreClient,
    rows: RowReader,
    records: RecordStore,
    private val onFailed: () -> Unit = {},
) : AutoCloseable {
    private val clock = Clock()
    private val log = DecisionLog(settings.node)
    private val storeLog = StoreLog()
    private val stopped = CountDownLatch(1)

    @Volatile private var isReady = false

    @Volatile private var hasFailed = false

    private val rings = GatewayRings()
    private val exchanges = OpenExchanges(protocol)
    private val client = HttpClients.start("upstreams", UPSTREAM_IDLE)
    private val upstreams =
        UpstreamClient(client, protocol, { rings.placement.put(it) }, { rings.relay.put(it) })

    private val metrics = GatewayMetrics(
        rings = rings::stats,
        droppedLines = CountingAsyncAppender::dropped,
        retryUses = ::retryUses,
    )
    private val duties = DutyFactory(clock, metrics, ::onThreadEnded)
    private val entry =
        duties.duty(
            rings.entry,
            EntryState(seed = seed()),
            EntryFilter(),
            EntrySink(rings, exchanges, log) { httpServer.setLimits(it) },
        )
    private val placementSettings = settings.placementSettings()
    private val placement = duties.duty(
        rings.placement,
        PlacementState(seed = seed()),
        PlacementFilter(placementSettings),
        PlacementSink(
            rings,
            exchanges,
            upstreams,
            metrics,
            log,
            clock,
            probeTimeout = placementSettings.probeTimeout * 2,
            configuration = { entry.snapshot.configuration },
        ),
    )
    private val relay = duties.duty(
        rings.relay,
        RelayState(),
        RelayFilter(),
        RelaySink(rings, exchanges, upstreams, metrics, log, clock),
    )

    // A full ring may hold the threads of the upstreams' client.
    private val storeScheduler =
        ScheduledExecutorScheduler("store-calls", true).also { it.start() }
    private val discovery = duties.duty(
        rings.discovery,
        DiscoveryState(),
        DiscoveryFilter(
            settings.discoverySettings(),
            rows,
        ),
        DiscoverySink(
            rings,
            store,
            rows,
            storeScheduler,
            metrics,
            storeLog,
            ::askPeer,
        ),
    )
    private val lifecycle = duties.duty(
        rings.lifecycle,
        LifecycleState.Starting(hasConfiguration = false, hasUpstreams = false),
        LifecycleFilter(settings.graceSeconds.seconds),
        LifecycleSink(
            rings,
            exchanges,
            log,
            setReady = { isReady = it },
            stopAccepting = { httpServer.stopAccepting() },
            onExit = stopped::countDown,
        ),
    )
    private val peerLinks: PeerLinks = PeerLinks(
        settings,
        clock,
        duties,
        ::onThreadEnded,
        client,
        log,
        storeLog,
        placement = { rings.placement.put(it) },
        discovery = { rings.discovery.put(it) },
        placementState = { placement.snapshot },
        discoveryState = { discovery.snapshot },
        takesCalls = { isReady },
    )
    private val exchangeWatch = ExchangeWatch(
        rings,
        exchanges,
        duties,
        metrics,
        log,
        clock,
        placementState = { placement.snapshot },
    )
    private val nodeRecords = NodeRecords(
        settings,
        rings,
        duties,
        records,
        metrics,
        storeLog,
        clock,
        placementState = { placement.snapshot },
        discoveryState = { discovery.snapshot },
    )
    private val idlePeriods = IdlePeriods(IDLE_TICKS)
    private val ticker = Ticker(
        TICK,
        listOf(
            Ticker.Target(
                rings.placement,
                isDue = idlePeriods.orWhen { placement.snapshot.calls.isNotEmpty() },
            ) { PlacementEvent.Tick },
            Ticker.Target(
                rings.discovery,
                isDue = idlePeriods.orWhen { discovery.snapshot.isDue(clock.now()) },
            ) { DiscoveryEvent.Tick },
            peerLinks.tickTarget,
            exchangeWatch.tickTarget,
        ) + nodeRecords.tickTargets,
        onEnded = { onThreadEnded("timer") },
    )
    private val httpServer: GatewayHttpServer = GatewayHttpServer(
        callers = parseAddress(settings.callers),
        status = listOf(
            parseAddress(settings.status),
            GatewayHttpServer.Address(settings.address, settings.metricsPort),
            GatewayHttpServer.Address(settings.address, settings.peerPort),
        ),
        callerHandler = CallerHandler(
            protocol,
            exchanges,
            clock,
            requestLimits = { entry.snapshot.configuration?.limits ?: RequestLimits() },
            shouldClose = { lifecycle.snapshot.isEnding },
            offerRequest = { rings.admit(it, exchanges.size) },
            onCallerGone = { rings.entry.put(EntryEvent.CallerGone(it)) },
        ),
        statusHandler = StatusHandler(
            protocol.readinessTarget,
            { isReady && !hasFailed },
            peerLinks::tableCopy,
            metrics::text,
        ),
    )

    init {
        metrics.watchDiscovery(
            version = { entry.snapshot.configuration?.version },
            feeds = { discovery.snapshot.stats(clock.now()) },
        )
    }

    /** Starts all duties, then listens for callers and status requests. */
    public fun start() {
        listOf(entry, placement, relay, discovery, lifecycle).forEach { it.start() }
        peerLinks.start()
        exchangeWatch.start()
        nodeRecords.start()
        rings.discovery.put(DiscoveryEvent.Start)
        ticker.start()
        httpServer.start()
        log.nodeStarted(settings)
    }

    /** Drains the node and returns once it has stopped; its process may end then. */
    public fun stop() {
        rings.lifecycle.put(LifecycleEvent.Terminate)
        while (!stopped.await(TICK.inWholeMilliseconds, TimeUnit.MILLISECONDS)) {
            rings.lifecycle.offer(LifecycleEvent.Tick(exchanges.size))
        }
    }

    /**
     * Ends the threads and connections of the node after [stop], where its process goes on.
     *
     * Once the rings are closed, no event starts new work and no duty waits for a full ring.
     */
    override fun close() {
        ticker.close()
        rings.close()
        peerLinks.close()
        exchangeWatch.close()
        nodeRecords.close()
        listOf(entry, placement, relay, discovery, lifecycle).forEach { it.close() }
        storeScheduler.stop()
        client.stop()
        httpServer.close()
    }

    /** Notes that an error has ended the thread [name], without which the node can't go on. */
    public fun onThreadEnded(name: String) {
        hasFailed = true
        metrics.dutyFailed(name, hasEnded = true)
        onFailed()
    }

    private fun askPeer(action: DiscoveryAction.AskPeer): Unit = peerLinks.requestTable(action)

    private fun parseAddress(text: String) = GatewayHttpServer.Address(
        text.substringBeforeLast(':'),
        text.substringAfterLast(':').toInt(),
    )

    private fun retryUses(): List<ServiceRetryUse> = RetryUses.of(placement.snapshot, clock.now())

    private fun seed(): Long = settings.node.hashCode().toLong() * SEED_FACTOR + System.nanoTime()

    private companion object {
        const val SEED_FACTOR = 1_000_003L
        val TICK = 20.milliseconds

        /** A duty without work gets one tick in this many. */
        const val IDLE_TICKS = 16

        val UPSTREAM_IDLE = 10.seconds
    }
}
