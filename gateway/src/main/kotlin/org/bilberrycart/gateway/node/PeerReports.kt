package org.bilberrycart.gateway.node

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.bilberrycart.gateway.discovery.TableEdition
import org.bilberrycart.gateway.model.CallFingerprint
import org.bilberrycart.gateway.model.ServiceName
import org.bilberrycart.gateway.model.UpstreamId
import org.bilberrycart.gateway.peers.PeersAction
import org.bilberrycart.gateway.peers.PeersEvent
import org.bilberrycart.gateway.peers.TableStatus
import org.bilberrycart.gateway.placement.ForwardingPeer
import org.bilberrycart.gateway.placement.NodeShare
import org.bilberrycart.gateway.placement.PlacementEvent
import org.bilberrycart.gateway.placement.PlacementState

/** Translates between placement's types and those of the gossip. */
internal object PeerReports {
    /** How long after a failure the upstream is reported to peers as lost. */
    private val LOSS_REPORT_TIME = 300.milliseconds

    /**
     * Returns what a node in [state] with the tables of [editions] and a [configuration] of
     * this status reports at [now]; [callers] is where it takes forwarded calls, if it does.
     */
    fun tick(
        state: PlacementState,
        editions: Map<String, TableEdition>,
        now: Duration,
        configuration: TableStatus? = null,
        callers: String? = null,
    ): PeersEvent.Tick = PeersEvent.Tick(
        loads = state.loads().mapKeys { it.key.value },
        lossAges = state.upstreams.values
            .filter { !state.isIsolated && it.failures > 0 && now - it.failedAt < LOSS_REPORT_TIME }
            .associate { it.entry.id.value to (now - it.failedAt).inWholeMilliseconds.toInt() },
        editions = editions,
        crashes = state.crashes.toGossip(now).entries.associate { (content, crashes) ->
            content.value to crashes.map(CrashNames::nameOf)
        },
        retries = state.retryUses(now).mapKeys { it.key.value },
        parts = state.parts.toReport(now),
        configuration = configuration,
        callers = callers,
        unreached = state.unreachedServices(now).map { it.value }.toSet(),
    )

    /** Returns the summary of [action] for the placement of the node at [self]. */
    fun peerReport(action: PeersAction.SummaryChanged, self: String) = PlacementEvent.PeerReport(
        loads = action.summary.loads.mapKeys { UpstreamId(it.key) }.toPersistentMap(),
        recentlyLost = action.summary.lossAges.entries.associate<_, UpstreamId, Duration> {
            UpstreamId(it.key) to it.value.milliseconds
        }.toPersistentMap(),
        crashes = action.summary.crashes.entries.associate { (content, crashes) ->
            CallFingerprint(content) to crashes.map(CrashNames::crashOf).toSet()
        }.toPersistentMap(),
        share = NodeShare(self, action.peers),
        retries = action.summary.retries.mapKeys { ServiceName(it.key) }.toPersistentMap(),
        partReports = action.summary.partReports.toPersistentList(),
        oldestSeenAt = action.summary.oldestSeenAt,
        configuration = action.summary.configuration,
        forwardingPeers = action.summary.unreached.map { (address, services) ->
            ForwardingPeer(address, services.map(::ServiceName).toSet())
        }.toPersistentList(),
    )
}
