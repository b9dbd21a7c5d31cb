package org.bilberrycart.routing

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.DataCentreId
import org.bilberrycart.model.Isolation
import org.bilberrycart.model.ServiceId
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.pipeline.invariant

/**
 * The state of the routing duty.
 *
 * @property dataCentre the data centre of this node.
 * @property seed the seed for the next random selection.
 * @property nodeIndex the position of this node among the live nodes.
 * @property nodeCount the number of live nodes.
 * @property attempts the upstream on which each attempt in flight runs.
 * @property isolatedAttempts the isolation of each attempt in flight that must be kept apart from
 * other work.
 * @property leavingIncarnations the newest leaving incarnation of each upstream that announced that
 * it leaves.
 * @property capacityReportedAt when the capacity was last reported to admission.
 */
public data class RoutingState(
    val dataCentre: DataCentreId,
    val seed: Long,
    val nodeIndex: Int = 0,
    val nodeCount: Int = 1,
    val upstreams: PersistentMap<UpstreamId, UpstreamState> = persistentHashMapOf(),
    val services: PersistentMap<ServiceId, ServiceRouting> = persistentHashMapOf(),
    val pools: PersistentMap<PoolKey, Pool> = persistentHashMapOf(),
    val attempts: PersistentMap<AttemptId, UpstreamId> = persistentHashMapOf(),
    val isolatedAttempts: PersistentMap<AttemptId, Isolation> = persistentHashMapOf(),
    val leavingIncarnations: PersistentMap<UpstreamId, Long> = persistentHashMapOf(),
    val capacityReportedAt: Duration = Duration.ZERO,
) {
    /** Returns the routing settings of [service], or the defaults if it is not configured. */
    public fun routingOf(service: ServiceId): ServiceRouting = services[service] ?: DEFAULT_ROUTING

    /** Checks that the attempts in flight and the counts of the upstreams agree. */
    public fun checkInFlight() {
        val counts = attempts.values.groupingBy { it }.eachCount()
        upstreams.values.forEach { held ->
            val counted = counts[held.upstream.id] ?: 0
            invariant("routing_in_flight", held.inFlight == counted) {
                "${held.upstream.id} counts ${held.inFlight} attempts in flight, not $counted"
            }
        }
    }

    /** Returns this state with [change] applied to the upstream [id], if it is known. */
    internal fun updateUpstream(
        id: UpstreamId,
        change: (UpstreamState) -> UpstreamState,
    ): RoutingState {
        val upstream = upstreams[id] ?: return this
        return copy(upstreams = upstreams.put(id, change(upstream)))
    }

    private companion object {
        val DEFAULT_ROUTING = ServiceRouting()
    }
}
