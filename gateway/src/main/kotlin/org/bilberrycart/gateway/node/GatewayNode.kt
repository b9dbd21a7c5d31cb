package org.bilberrycart.gateway.node

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.gateway.discovery.DiscoveryAction
import org.bilberrycart.gateway.discovery.DiscoveryEvent
import org.bilberrycart.gateway.discovery.DiscoveryFilter
import org.bilberrycart.gateway.discovery.DiscoveryState
import org.bilberrycart.gateway.discovery.RowReader
import org.bilberrycart.gateway.discovery.StoreClient
import org.bilberrycart.gateway.discovery.StoreTable
import org.bilberrycart.gateway.entry.EntryAction
import org.bilberrycart.gateway.entry.EntryEvent
import org.bilberrycart.gateway.entry.EntryFilter
import org.bilberrycart.gateway.entry.EntryState
import org.bilberrycart.gateway.entry.Intake
import org.bilberrycart.gateway.http.CallerProtocol
import org.bilberrycart.gateway.http.FrontHandler
import org.bilberrycart.gateway.http.FrontServer
import org.bilberrycart.gateway.http.HttpClients
import org.bilberrycart.gateway.http.OpenExchanges
import org.bilberrycart.gateway.http.StatusHandler
import org.bilberrycart.gateway.http.UpstreamClient
import org.bilberrycart.gateway.lifecycle.LifecycleAction
import org.bilberrycart.gateway.lifecycle.LifecycleEvent
import org.bilberrycart.gateway.lifecycle.LifecycleFilter
import org.bilberrycart.gateway.lifecycle.LifecycleState
import org.bilberrycart.gateway.metrics.CountingAsyncAppender
import org.bilberrycart.gateway.metrics.GatewayMetrics
import org.bilberrycart.gateway.model.RequestLimits
import org.bilberrycart.gateway.placement.CallState
import org.bilberrycart.gateway.placement.PlacementAction
import org.bilberrycart.gateway.placement.PlacementEvent
import org.bilberrycart.gateway.placement.PlacementFilter
import org.bilberrycart.gateway.placement.PlacementSettings
import org.bilberrycart.gateway.placement.PlacementState
import org.bilberrycart.gateway.relay.RelayAction
import org.bilberrycart.gateway.relay.RelayEvent
import org.bilberrycart.gateway.relay.RelayFilter
import org.bilberrycart.gateway.relay.RelayState
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.pipeline.Duty
import org.bilberrycart.pipeline.Ring
import org.bilberrycart.timer.Ticker

/** A node that stands between callers and upstreams: the filters, their rings and the edges. */
public class GatewayNode(
    private val settings: GatewaySettings,
    protocol: CallerProtocol,
    private val store: StoreClient,
    private val rows: RowReader,
) {
    private val clock = Clock()
    private val log = DecisionLog(settings.node)
    private val stopped = CountDownLatch(1)

    @Volatile private var isReady = false

    private val entryRing = Ring<EntryEvent>("entry", ENTRY_CAPACITY)
    private val placementRing = Ring<PlacementEvent>("placement", RING_CAPACITY, RING_RESERVE)
    private val relayRing = Ring<RelayEvent>("relay", RING_CAPACITY)
    private val discoveryRing = Ring<DiscoveryEvent>("discovery", CONTROL_CAPACITY)
    private val lifecycleRing = Ring<LifecycleEvent>("lifecycle", CONTROL_CAPACITY)

    private val exchanges = OpenExchanges(protocol)
    private val client = HttpClients.start("upstreams", UPSTREAM_IDLE)
    private val upstreams =
        UpstreamClient(client, protocol, { placementRing.put(it) }, { relayRing.put(it) })

    private val entry =
        Duty("entry", entryRing, EntryState(seed = seed()), EntryFilter(), clock, ::onEntry)
    private val placementSettings = PlacementSettings(
        repeatWindow = settings.repeatWindowSeconds.seconds,
        repeatRatio = settings.repeatRatio * REPEAT_SHARE,
        repeatSlack = settings.repeatSlack / SLACK_PARTS,
    )
    private val placement = Duty(
        "placement",
        placementRing,
        PlacementState(seed = seed()),
        PlacementFilter(placementSettings),
        clock,
        ::onPlacement,
    )
    private val relay = Duty("relay", relayRing, RelayState(), RelayFilter(), clock, ::onRelay)
    private val discovery = Duty(
        "discovery",
        discoveryRing,
        DiscoveryState(),
        DiscoveryFilter(),
        clock,
        ::onDiscovery,
    )
    private val lifecycle = Duty(
        "lifecycle",
        lifecycleRing,
        LifecycleState.Starting(hasConfiguration = false, hasUpstreams = false),
        LifecycleFilter(settings.graceSeconds.seconds),
        clock,
        ::onLifecycle,
    )
    private val metrics = GatewayMetrics(
        rings = {
            listOf(entryRing, placementRing, relayRing, discoveryRing, lifecycleRing)
                .map { it.stats() }
        },
        droppedLines = CountingAsyncAppender::dropped,
    )
    private val peerLinks = PeerLinks(
        settings,
        clock,
        client,
        log,
        placement = { placementRing.put(it) },
        discovery = { discoveryRing.put(it) },
        placementState = { placement.snapshot },
        discoveryState = { discovery.snapshot },
    )
    private val timer = Ticker(
        TICK,
        listOf(
            Ticker.Target(placementRing) { PlacementEvent.Tick },
            Ticker.Target(discoveryRing) { DiscoveryEvent.Tick },
            peerLinks.ticks,
        ),
    )
    private val front = FrontServer(
        callers = address(settings.callers),
        status = listOf(
            address(settings.status),
            FrontServer.Address(settings.address, settings.metricsPort),
            FrontServer.Address(settings.address, settings.peerPort),
        ),
        callerHandler = FrontHandler(
            protocol,
            exchanges,
            clock,
            limits = { entry.snapshot.configuration?.limits ?: RequestLimits() },
            isClosing = { lifecycle.snapshot is LifecycleState.Draining },
            receive = entryRing::offer,
            callerGone = { placementRing.put(PlacementEvent.CallerGone(it)) },
        ),
        statusHandler = StatusHandler(protocol.readyTarget, {
            isReady
        }, peerLinks::tableCopy, metrics::text),
    )

    /** Starts all duties and listens. */
    public fun start() {
        listOf(entry, placement, relay, discovery, lifecycle).forEach { it.start() }
        peerLinks.start()
        discoveryRing.put(DiscoveryEvent.Start)
        timer.start()
        front.start()
        log.started(settings)
    }

    /** Drains the node and returns when it has ended. */
    public fun stop() {
        lifecycleRing.put(LifecycleEvent.Terminate)
        while (!stopped.await(TICK.inWholeMilliseconds, TimeUnit.MILLISECONDS)) {
            lifecycleRing.offer(LifecycleEvent.Tick(exchanges.size))
        }
    }

    private fun onEntry(action: EntryAction) {
        log.entry(action)
        when (action) {
            is EntryAction.Forward -> placementRing.put(PlacementEvent.Submit(action.call))
            is EntryAction.Refuse ->
                exchanges.refuse(action.key, action.head.requestId, action.refusal)
            is EntryAction.InForce -> {
                val limits = action.configuration.limits
                front.limit(limits.idleTime, limits.headerBytes)
                lifecycleRing.put(LifecycleEvent.Configured)
            }
        }
    }

    private fun onPlacement(action: PlacementAction) {
        log.placement(action, clock.now())
        count(action)
        when (action) {
            is PlacementAction.Send -> relayRing.put(RelayEvent.Begin(action.order))
            is PlacementAction.Cancel -> upstreams.cancel(action.attempt, action.why)
            is PlacementAction.Deliver -> {
                exchanges.deliver(action.call.call.key, action.answer)
                stopStream(action.call, isAborted = false)
            }
            is PlacementAction.Refuse -> {
                val call = action.call.call
                exchanges.refuse(call.key, call.head.requestId, action.refusal)
                stopStream(action.call, isAborted = false)
            }
            is PlacementAction.Abort -> stopStream(action.call, isAborted = true)
            is PlacementAction.Forget -> stopStream(action.call, isAborted = true)
            is PlacementAction.Probe ->
                upstreams.probe(action.upstream, placementSettings.probeTimeout * 2)
            is PlacementAction.Believe, is PlacementAction.Resumed -> Unit
        }
    }

    private fun stopStream(state: CallState, isAborted: Boolean) {
        relayRing.put(RelayEvent.Stop(state.call.key, isAborted))
    }

    private fun count(action: PlacementAction): Unit = when (action) {
        is PlacementAction.Send -> metrics.sent(
            action.order.call.service.name.value,
            isRepeat = action.order.attempt.number > 1,
        )
        is PlacementAction.Deliver -> {
            val call = action.call.call
            metrics.answered(call.organisation, clock.now() - call.arrivedAt)
            ended(action.call, "status_${action.answer.head.status}")
        }
        is PlacementAction.Refuse -> ended(action.call, "code_${action.refusal.code}")
        is PlacementAction.Abort -> ended(action.call, "broken_off")
        is PlacementAction.Forget -> ended(action.call, action.why.replace(' ', '_'))
        is PlacementAction.Believe -> metrics.believed("upstream", action.belief)
        is PlacementAction.Probe -> metrics.believed("upstream", "probed")
        is PlacementAction.Resumed -> metrics.resumed(action.pause)
        is PlacementAction.Cancel -> Unit
    }

    private fun ended(state: CallState, outcome: String) =
        metrics.ended(state.call.route.name, outcome, clock.now() - state.call.arrivedAt)

    private fun onRelay(action: RelayAction): Unit = when (action) {
        is RelayAction.Send -> upstreams.send(action.order, action.lastEvent)
        is RelayAction.Open -> {
            val elapsed = clock.now() - action.call.arrivedAt
            metrics.answered(action.call.organisation, elapsed)
            log.opened(action, clock.now())
            exchanges.open(action.call.key, action.head)
        }
        is RelayAction.Write -> exchanges.write(action.attempt.call, action.bytes) {
            upstreams.demand(action.attempt)
        }
        is RelayAction.Demand -> upstreams.demand(action.attempt)
        is RelayAction.Drop -> upstreams.cancel(action.attempt, "of no use")
        is RelayAction.Complete -> exchanges.complete(action.key)
        is RelayAction.Abort -> exchanges.abort(action.key, "broken off")
        is RelayAction.Report -> Unit.also { placementRing.put(action.event) }
    }

    private fun onDiscovery(action: DiscoveryAction): Unit = when (action) {
        is DiscoveryAction.Read -> later(action.delay) {
            store.read(action.table, action.from) { replied(action.table, it) }
        }
        is DiscoveryAction.Follow -> later(action.delay) {
            store.follow(action.table, action.version, FEED_WAIT) { replied(action.table, it) }
        }
        is DiscoveryAction.AskPeer -> peerLinks.ask(action)
        is DiscoveryAction.Publish -> publish(action)
        is DiscoveryAction.Store -> {
            metrics.believed("store", if (action.isBack) "back" else "lost")
            log.discovery(action)
        }
    }

    private fun replied(table: StoreTable, reply: org.bilberrycart.gateway.discovery.StoreReply) {
        discoveryRing.put(DiscoveryEvent.Replied(table, reply))
    }

    private fun later(delay: kotlin.time.Duration, call: () -> Unit) {
        client.scheduler.schedule(call, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun publish(action: DiscoveryAction.Publish) {
        when (action.table) {
            StoreTable.CONFIGURATION -> {
                val read = action.rows.mapNotNull(rows::configuration)
                read.forEach { entryRing.put(EntryEvent.Configured(it)) }
                log.published(action, unreadable = emptyList())
            }
            StoreTable.UPSTREAMS -> {
                val read = action.rows.associateWith(rows::upstream)
                placementRing.put(
                    PlacementEvent.Registered(read.values.filterNotNull().toPersistentList()),
                )
                log.published(action, read.filterValues { it == null }.keys.map { it.key })
                lifecycleRing.put(LifecycleEvent.UpstreamsListed)
            }
        }
    }

    private fun onLifecycle(action: LifecycleAction) {
        log.lifecycle(action)
        when (action) {
            is LifecycleAction.Ready -> isReady = action.isReady
            LifecycleAction.RefuseStreams -> entryRing.put(EntryEvent.Limit(Intake.Calls))
            LifecycleAction.StopAccepting -> {
                entryRing.put(EntryEvent.Limit(Intake.Nothing))
                front.stopAccepting()
            }
            is LifecycleAction.BreakOff -> exchanges.abortAll("the node stops")
            is LifecycleAction.Exit -> stopped.countDown()
        }
    }

    private fun address(text: String) =
        FrontServer.Address(text.substringBeforeLast(':'), text.substringAfterLast(':').toInt())

    private fun seed(): Long = settings.node.hashCode().toLong() * SEED_FACTOR + System.nanoTime()

    private companion object {
        const val ENTRY_CAPACITY = 4096
        const val RING_CAPACITY = 16_384
        const val RING_RESERVE = 4096
        const val CONTROL_CAPACITY = 256
        const val SEED_FACTOR = 1_000_003L

        /** This node's part of the ratio that all nodes share; the rest is a reserve. */
        const val REPEAT_SHARE = 0.75

        /** The shared slack is divided among this many nodes. */
        const val SLACK_PARTS = 8
        val TICK = 20.milliseconds
        val FEED_WAIT = 2.seconds
        val UPSTREAM_IDLE = 10.seconds
    }
}
