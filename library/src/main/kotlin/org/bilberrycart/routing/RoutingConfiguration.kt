package org.bilberrycart.routing

import kotlin.math.ceil
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentHashMap
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import org.bilberrycart.model.ModelRef
import org.bilberrycart.model.ServiceId
import org.bilberrycart.model.Upstream
import org.bilberrycart.model.UpstreamId

/**
 * Returns this state under the configuration of [event].
 *
 * Upstreams that are no longer declared stay until their attempts in flight have ended, and pools
 * without upstreams stay while placements wait in them.
 */
internal fun RoutingState.withConfiguration(event: RoutingEvent.Configured): RoutingState {
    val services = event.services.toPersistentHashMap()
    val memberIds = membersOf(event.upstreams, services)
    val next = memberIds.mapValues { (key, ids) -> poolOf(pools[key] ?: Pool(), ids, event) }
    val orphaned = pools.filter { (key, pool) -> key !in memberIds && pool.waiting.isNotEmpty() }
        .mapValues { (_, pool) ->
            pool.copy(local = NO_UPSTREAMS, remote = NO_UPSTREAMS, cursor = 0)
        }
    val declared = copy(services = services, upstreams = upstreamsOf(event, memberIds))
    val pools = (next + orphaned).mapValues { (key, pool) -> declared.withPreferred(key, pool) }
    return declared.copy(pools = pools.toPersistentHashMap())
}

private val NO_UPSTREAMS = emptyList<UpstreamId>().toPersistentList()

private fun RoutingState.upstreamsOf(
    event: RoutingEvent.Configured,
    memberIds: Map<PoolKey, List<UpstreamId>>,
): PersistentMap<UpstreamId, UpstreamState> {
    val keys = memberIds.entries
        .flatMap { (key, ids) -> ids.map { it to key } }
        .groupBy({ it.first }, { it.second })
    val declared = event.upstreams.associate { upstream ->
        val current = upstreams[upstream.id] ?: UpstreamState(upstream)
        upstream.id to current.copy(
            upstream = upstream,
            pools = keys[upstream.id].orEmpty().toPersistentSet(),
            isDeclared = true,
            leavingIncarnation = leavingIncarnations[upstream.id] ?: current.leavingIncarnation,
        )
    }
    val draining = upstreams
        .filter { (id, state) -> id !in declared && state.inFlight > 0 }
        .mapValues { (_, state) -> state.copy(isDeclared = false, pools = NO_POOLS) }
    return persistentHashMapOf<UpstreamId, UpstreamState>().putAll(declared + draining)
}

private val NO_POOLS = emptyList<PoolKey>().toPersistentSet()

private fun RoutingState.poolOf(
    previous: Pool,
    ids: List<UpstreamId>,
    event: RoutingEvent.Configured,
): Pool {
    val declared = event.upstreams.associateBy { it.id }
    val (local, remote) = ids.partition { declared[it]?.dataCentre == dataCentre }
    val pool = previous.copy(
        local = local.toPersistentList(),
        remote = remote.toPersistentList(),
        cursor = 0,
        slots = ids.sumOf { declared.getValue(it).slots },
    )
    return if (previous.size == 0) pool.copy(retryBudget = pool.retryBurst) else pool
}

private fun membersOf(
    upstreams: List<Upstream>,
    services: Map<ServiceId, ServiceRouting>,
): Map<PoolKey, List<UpstreamId>> = upstreams
    .flatMap { upstream -> poolKeysOf(upstream).map { it to upstream.id } }
    .groupBy({ it.first }, { it.second })
    .flatMap { (key, ids) -> lanesOf(key, ids.sortedBy { it.value }, services) }
    .toMap()

private fun poolKeysOf(upstream: Upstream): List<PoolKey> {
    val models: List<ModelRef?> = upstream.models.toList().ifEmpty { listOf(null) }
    return upstream.services.flatMap { service -> models.map { PoolKey(service, it) } }
}

private fun lanesOf(
    key: PoolKey,
    ids: List<UpstreamId>,
    services: Map<ServiceId, ServiceRouting>,
): List<Pair<PoolKey, List<UpstreamId>>> {
    val policy = services[key.service]?.policy as? RoutingPolicy.Dedicated
        ?: return listOf(key to ids)
    val shortCount = ceil(ids.size * policy.shortShare).toInt()
    return listOf(
        key.copy(lane = PoolKey.Lane.SHORT) to ids.take(shortCount),
        key.copy(lane = PoolKey.Lane.REST) to ids.drop(shortCount),
    )
}
