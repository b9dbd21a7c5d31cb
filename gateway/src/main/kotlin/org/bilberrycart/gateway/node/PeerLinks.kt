package org.bilberrycart.gateway.node

import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentSet
import org.bilberrycart.gateway.discovery.DiscoveryAction
import org.bilberrycart.gateway.discovery.DiscoveryEvent
import org.bilberrycart.gateway.discovery.DiscoveryState
import org.bilberrycart.gateway.discovery.StoreTable
import org.bilberrycart.gateway.http.StatusHandler
import org.bilberrycart.gateway.http.WholeAnswerListener
import org.bilberrycart.gateway.peers.GossipCodec
import org.bilberrycart.gateway.peers.PeerSocket
import org.bilberrycart.gateway.peers.PeersAction
import org.bilberrycart.gateway.peers.PeersEvent
import org.bilberrycart.gateway.peers.PeersFilter
import org.bilberrycart.gateway.peers.PeersState
import org.bilberrycart.gateway.peers.TableCopy
import org.bilberrycart.gateway.peers.TableStatus
import org.bilberrycart.gateway.placement.PlacementEvent
import org.bilberrycart.gateway.placement.PlacementState
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.pipeline.Ring
import org.bilberrycart.timer.Ticker
import org.eclipse.jetty.client.HttpClient
import org.eclipse.jetty.client.Result

/** Runs the peers duty and its socket, and exchanges copies of the store's tables with peers. */
internal class PeerLinks(
    private val settings: GatewaySettings,
    private val clock: Clock,
    duties: DutyFactory,
    private val onThreadEnded: (name: String) -> Unit,
    private val client: HttpClient,
    private val log: DecisionLog,
    private val storeLog: StoreLog,
    private val placement: (PlacementEvent) -> Unit,
    private val discovery: (DiscoveryEvent) -> Unit,
    private val placementState: () -> PlacementState,
    private val discoveryState: () -> DiscoveryState,
    private val takesCalls: () -> Boolean,
) : AutoCloseable {
    private val self = "${settings.address}:${settings.peerPort}"
    private val ring = Ring<PeersEvent>("peers", RING_CAPACITY)
    private val socket = PeerSocket(
        settings.address,
        settings.peerPort,
        onEnded = { onThreadEnded("peers-io") },
    ) { ring.offer(PeersEvent.Received(it)) }

    /** The states at the last tick; used by the timer's thread only. */
    private var lastStates: List<Any> = emptyList()
    private val duty = duties.duty(ring, initialState(), PeersFilter(), ::execute)

    /** The target of the node's ticker that drives gossip. */
    val tickTarget: Ticker.Target<PeersEvent> =
        Ticker.Target(ring, isDue = IdlePeriods(IDLE_TICKS).orWhen(::isChanged), ::tick)

    /** Starts the peers duty and its socket. */
    fun start() {
        duty.start()
        socket.start()
    }

    /** Ends the peers duty and closes its socket. */
    override fun close() {
        duty.close()
        socket.close()
    }

    /** Returns this node's encoded copy of the table [name], or null if it has none. */
    fun tableCopy(name: String): ByteArray? = StoreTable.entries.firstOrNull { it.name == name }
        ?.let { discoveryState().feeds.getValue(it) }
        ?.let { TableCopy.of(it) }
        ?.let { GossipCodec.encode(it) }

    /** Requests a peer's copy of a table and passes it to discovery if it arrives. */
    fun requestTable(action: DiscoveryAction.AskPeer) {
        client.newRequest("http://${action.address}${StatusHandler.TABLE_PATH}${action.table.name}")
            .timeout(TABLE_TIMEOUT.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            .send(object : WholeAnswerListener(MAX_TABLE_BYTES) {
                override fun onComplete(result: Result) {
                    val copy = content?.takeIf { result.isSucceeded }?.let(GossipCodec::decodeTable)
                    storeLog.tableRequested(
                        action,
                        copy?.let { "version ${it.version}" } ?: "${result.failure}",
                    )
                    if (copy != null) discovery(DiscoveryEvent.PeerTable(action.table, copy.page()))
                }
            })
    }

    private fun initialState() = PeersState(
        self = self,
        incarnation = System.currentTimeMillis(),
        candidates = settings.seeds
            .map { "${it.substringBeforeLast(':')}:${settings.peerPort}" }
            .filterNot { it == self }.toPersistentSet(),
    )

    /** Whether this node's loads or what it knows of its peers changed since the last call. */
    private fun isChanged(): Boolean {
        val states = listOf(placementState(), duty.snapshot)
        val isSame = states.zip(lastStates).count { (a, b) -> a === b } == states.size
        lastStates = states
        return !isSame
    }

    private fun tick(): PeersEvent = PeerReports.tick(
        placementState(),
        editions = discoveryState().feeds.entries.mapNotNull { (table, feed) ->
            feed.edition?.let { table.name to it }
        }.toMap(),
        clock.now(),
        configurationStatus(),
        callers = settings.callers.takeIf { takesCalls() },
    )

    private fun configurationStatus(): TableStatus {
        val feed = discoveryState().feeds.getValue(StoreTable.CONFIGURATION)
        return TableStatus(StoreTable.CONFIGURATION.name, feed.newestEdition, feed.confirmedAt)
    }

    private fun execute(action: PeersAction): Unit = when (action) {
        is PeersAction.Send -> socket.send(action.addresses, action.message)
        is PeersAction.SummaryChanged -> placement(PeerReports.peerReport(action, self))
        is PeersAction.TableEditions -> action.editions.forEach { (name, edition) ->
            StoreTable.entries.firstOrNull { it.name == name }
                ?.takeIf { discoveryState().feeds.getValue(it).isBehind(edition) }
                ?.let { discovery(DiscoveryEvent.PeerReported(it, action.address, edition)) }
        }
        is PeersAction.PeerStatusChanged -> {
            log.peerStatus(action)
            discovery(DiscoveryEvent.PeerCountChanged(action.peerCount))
        }
    }

    private companion object {
        const val RING_CAPACITY = 1024

        /** Without a change, one tick in this many checks for heartbeats and silent peers. */
        const val IDLE_TICKS = 5
        const val MAX_TABLE_BYTES = 8 * 1024 * 1024
        val TABLE_TIMEOUT = 1.seconds
    }
}
