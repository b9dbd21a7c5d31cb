package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.gateway.model.CallKey
import org.bilberrycart.gateway.model.ConfigurationStatus
import org.bilberrycart.gateway.model.RetryRule
import org.bilberrycart.gateway.model.RetryUse
import org.bilberrycart.gateway.model.ServiceName
import org.bilberrycart.gateway.model.StreamOrigin
import org.bilberrycart.gateway.model.UpstreamId

/**
 * The state of placement: upstreams, calls in progress and the use of the retry budgets.
 *
 * @property crashes upstreams that crashed before they answered a call, by the call's content.
 * @property parts what is known of prompt parts that crash upstreams.
 * @property forwardingPeers the other nodes that take calls in place of this one.
 * @property isIsolated whether this node has lost its links to the upstreams.
 * @property beginOnlyAt the software versions at which streams shall begin, by service; those of
 *   other services may begin at any.
 * @property leaving the incarnations that stated that they leave, the latest last.
 * @property departed ids of removed upstreams, the latest last.
 * @property share the upstreams that this node prefers.
 * @property nodeCount the most nodes known at a time; null before any gossip was received.
 * @property tickLag how late this node itself is.
 * @property oldestPeerSeenAt when the node that has been silent for longest was last heard.
 * @property configuration whether this node's configuration is in force; null if unknown.
 * @property startedAt when this process started.
 * @property peerRetries the dispatches of all other nodes in the retry window, by service.
 */
public data class PlacementState(
    val upstreams: PersistentMap<UpstreamId, UpstreamView> = persistentMapOf(),
    val calls: PersistentMap<CallKey, ActiveCall> = persistentMapOf(),
    val budgets: PersistentMap<ServiceName, RetryBudget> = persistentMapOf(),
    val crashes: CrashHistory = CrashHistory(),
    val parts: PartHistory = PartHistory(),
    val forwardingPeers: PersistentList<ForwardingPeer> = persistentListOf(),
    val isIsolated: Boolean = false,
    val beginOnlyAt: PersistentMap<ServiceName, String> = persistentMapOf(),
    val leaving: PersistentList<Incarnation> = persistentListOf(),
    val departed: PersistentList<UpstreamId> = persistentListOf(),
    val share: NodeShare = NodeShare(),
    val nodeCount: Int? = null,
    val peerRetries: PersistentMap<ServiceName, RetryUse> = persistentMapOf(),
    val oldestPeerSeenAt: Duration? = null,
    val configuration: ConfigurationStatus? = null,
    val tickLag: TickLag = TickLag(),
    val startedAt: Duration = Duration.ZERO,
    val seed: Long = 1,
) {
    /** Returns the load of this node's calls at each upstream, by [ActiveCall.loadOf]. */
    public fun loads(): Map<UpstreamId, Int> = calls.values
        .flatMap { call -> call.attempts.values.map { it.upstream to call.loadOf(it) } }
        .groupingBy { it.first }.fold(0) { sum, (_, load) -> sum + load }

    /** Returns this node's dispatches in the retry window that ends at [now], by service. */
    public fun retryUses(now: Duration): Map<ServiceName, RetryUse> =
        budgets.mapValues { (_, budget) -> inForce(budget, now).use(now) }

    /**
     * Returns what counts of [budget] at [now].
     *
     * If another configuration may be in force, callers may mean another service since then, so
     * that the first dispatches since the last confirmation of this one allow no retries.
     */
    internal fun inForce(budget: RetryBudget, now: Duration): RetryBudget {
        val isFleetHeard = nodeCount != null && share.peers.size + 1 >= nodeCount
        return when {
            configuration == null || configuration.isInForce(now, isFleetHeard) -> budget
            else -> budget.withoutFirstDispatchesAfter(configuration.confirmedAt ?: startedAt)
        }
    }

    /** Returns what is known of the other nodes' retries for [service]. */
    internal fun fleetRetries(
        service: ServiceName,
        isStarting: Boolean,
        now: Duration,
    ): FleetRetries = FleetRetries(
        peers = peerRetries[service] ?: RetryUse(),
        heardNodes = share.peers.size + 1,
        knownNodes = nodeCount,
        isCurrent = tickLag.lag == Duration.ZERO,
        isStarting = isStarting,
        reportAge = oldestPeerSeenAt?.let { now - it } ?: Duration.ZERO,
    )

    /** Returns the services of which this node can send calls to no upstream at [now]. */
    internal fun unreachedServices(now: Duration): Set<ServiceName> = upstreams.values
        .filterNot { it.isLeaving || it.isReplaced }
        .groupBy { it.entry.service }
        .filterValues { views -> isIsolated || views.none { it.isUp(now) } }.keys

    /** Returns where [call] may be sent by its software version. */
    internal fun originOf(call: ActiveCall): StreamOrigin {
        val service = call.call.service.name
        val limit = beginOnlyAt[service] ?: return call.origin
        val isBeginning = call.origin == StreamOrigin.NotBegun &&
            call.call.route.retryRule is RetryRule.Stream
        val isServed = upstreams.values.any {
            it.entry.service == service && !it.isLeaving && it.entry.softwareVersion == limit
        }
        return if (isBeginning && isServed) StreamOrigin.BegunAt(limit) else call.origin
    }

    internal fun with(view: UpstreamView): PlacementState =
        copy(upstreams = upstreams.put(view.entry.id, view))

    internal fun with(call: ActiveCall): PlacementState =
        copy(calls = calls.put(call.call.key, call))

    internal fun update(id: UpstreamId?, change: (UpstreamView) -> UpstreamView): PlacementState =
        upstreams[id]?.let { with(change(it)) } ?: this
}
