package org.bilberrycart.gateway.budget

import kotlin.time.Duration
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import org.bilberrycart.gateway.model.UpstreamEntry
import org.bilberrycart.gateway.node.PeerReports
import org.bilberrycart.gateway.peers.GossipMessage
import org.bilberrycart.gateway.peers.PeersAction
import org.bilberrycart.gateway.peers.PeersEvent
import org.bilberrycart.gateway.peers.PeersFilter
import org.bilberrycart.gateway.peers.PeersState
import org.bilberrycart.gateway.peers.TableStatus
import org.bilberrycart.gateway.placement.PlacementAction
import org.bilberrycart.gateway.placement.PlacementEvent
import org.bilberrycart.gateway.placement.PlacementFilter
import org.bilberrycart.gateway.placement.PlacementState

/** Placement and gossip of one node, from one start of its process to the next. */
internal class VirtualNode(
    val address: String,
    val startedAt: Duration,
    seeds: List<String>,
    seed: Long,
    private val onAction: (PlacementAction) -> Unit,
    private val onGossip: (PeersAction.Send) -> Unit,
) {
    private val placementFilter = PlacementFilter()
    private val peersFilter = PeersFilter()
    private var placement = PlacementState(startedAt = startedAt, seed = seed)
    private var peers = PeersState(
        address,
        incarnation = startedAt.inWholeMilliseconds,
        candidates = (seeds - address).toPersistentSet(),
    )

    fun list(upstreams: List<UpstreamEntry>, now: Duration) =
        step(PlacementEvent.UpstreamsListed(upstreams.toPersistentList()), now)

    fun step(event: PlacementEvent, now: Duration) {
        val step = placementFilter.step(placement, event, now)
        placement = step.state
        step.actions.forEach(onAction)
    }

    fun receive(message: GossipMessage, now: Duration) = step(PeersEvent.Received(message), now)

    /** Runs the periodic checks of a node whose configuration is [configuration]. */
    fun tick(configuration: TableStatus, now: Duration) {
        step(PlacementEvent.Tick, now)
        val editions = mapOf(configuration.table to configuration.edition)
        step(PeerReports.tick(placement, editions, now, configuration), now)
    }

    private fun step(event: PeersEvent, now: Duration) {
        val step = peersFilter.step(peers, event, now)
        peers = step.state
        step.actions.forEach { execute(it, now) }
    }

    private fun execute(action: PeersAction, now: Duration): Unit = when (action) {
        is PeersAction.Send -> onGossip(action)
        is PeersAction.SummaryChanged -> step(PeerReports.peerReport(action, address), now)
        is PeersAction.TableEditions, is PeersAction.PeerStatusChanged -> Unit
    }
}
