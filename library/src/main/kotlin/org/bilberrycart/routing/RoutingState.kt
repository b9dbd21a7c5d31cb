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
 * All that routing knows.
 *
 * @property dataCentre the data centre of this node.
 * @property seed the seed of the next random choice.
 * @property nodeIndex the position of this node among the live nodes.
 * @property nodeCount the number of live nodes.
 * @property attempts the attempts in flight and where each of them runs.
 * @property isolated the attempts in flight that keep away from other work.
 * @property left upstreams that are known to leave, by the incarnation that leaves.
 * @property reportedAt when the capacity was last reported to admission.
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
    val isolated: PersistentMap<AttemptId, Isolation> = persistentHashMapOf(),
    val left: PersistentMap<UpstreamId, Long> = persistentHashMapOf(),
    val reportedAt: Duration = Duration.ZERO,
) {
    /** Returns how the work of [service] is placed. */
    public fun routingOf(service: ServiceId): ServiceRouting = services[service] ?: DEFAULT_ROUTING

    /** Checks that the attempts in flight and the counts of the upstreams agree. */
    public fun checkInFlight() {
        val counts = attempts.values.groupingBy { it }.eachCount()
        upstreams.values.forEach { held ->
            val counted = counts[held.upstream.id] ?: 0
            invariant("routing_in_flight", held.own == counted) {
                "${held.upstream.id} counts ${held.own} attempts, but $counted are in flight"
            }
        }
    }

    internal fun update(id: UpstreamId, change: (UpstreamState) -> UpstreamState): RoutingState {
        val held = upstreams[id] ?: return this
        return copy(upstreams = upstreams.put(id, change(held)))
    }

    private companion object {
        val DEFAULT_ROUTING = ServiceRouting()
    }
}
