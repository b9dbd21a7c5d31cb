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

/** Returns this state under the configuration that [event] brings. */
internal fun RoutingState.configured(event: RoutingEvent.Configured): RoutingState {
    val services = event.services.toPersistentHashMap()
    val members = membersOf(event.upstreams, services)
    val next = members.mapValues { (key, ids) -> poolOf(pools[key] ?: Pool(), ids, event) }
    val orphaned = pools.filter { (key, pool) -> key !in members && pool.waiting.isNotEmpty() }
        .mapValues { (_, pool) -> pool.copy(local = NONE, remote = NONE, cursor = 0) }
    val declared = copy(services = services, upstreams = upstreamsOf(event, members))
    val pools = (next + orphaned).mapValues { (key, pool) -> declared.withHome(key, pool) }
    return declared.copy(pools = pools.toPersistentHashMap())
}

private val NONE = emptyList<UpstreamId>().toPersistentList()

private fun RoutingState.upstreamsOf(
    event: RoutingEvent.Configured,
    members: Map<PoolKey, List<UpstreamId>>,
): PersistentMap<UpstreamId, UpstreamState> {
    val keys = members.entries
        .flatMap { (key, ids) -> ids.map { it to key } }
        .groupBy({ it.first }, { it.second })
    val declared = event.upstreams.associate { upstream ->
        val held = upstreams[upstream.id] ?: UpstreamState(upstream)
        upstream.id to held.copy(
            upstream = upstream,
            pools = keys[upstream.id].orEmpty().toPersistentSet(),
            isDeclared = true,
            leftIncarnation = left[upstream.id] ?: held.leftIncarnation,
        )
    }
    val draining = upstreams
        .filter { (id, held) -> id !in declared && held.own > 0 }
        .mapValues { (_, held) -> held.copy(isDeclared = false, pools = NO_POOLS) }
    return persistentHashMapOf<UpstreamId, UpstreamState>().putAll(declared + draining)
}

private val NO_POOLS = emptyList<PoolKey>().toPersistentSet()

private fun RoutingState.poolOf(
    held: Pool,
    ids: List<UpstreamId>,
    event: RoutingEvent.Configured,
): Pool {
    val declared = event.upstreams.associateBy { it.id }
    val (local, remote) = ids.partition { declared[it]?.dataCentre == dataCentre }
    val pool = held.copy(
        local = local.toPersistentList(),
        remote = remote.toPersistentList(),
        cursor = 0,
        slots = ids.sumOf { declared.getValue(it).slots },
    )
    return if (held.size == 0) pool.copy(retryBudget = pool.retryBurst) else pool
}

private fun membersOf(
    upstreams: List<Upstream>,
    services: Map<ServiceId, ServiceRouting>,
): Map<PoolKey, List<UpstreamId>> = upstreams
    .flatMap { upstream -> keysOf(upstream).map { it to upstream.id } }
    .groupBy({ it.first }, { it.second })
    .flatMap { (key, ids) -> lanesOf(key, ids.sortedBy { it.value }, services) }
    .toMap()

private fun keysOf(upstream: Upstream): List<PoolKey> {
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
    val short = ceil(ids.size * policy.shortShare).toInt()
    return listOf(
        key.copy(lane = PoolKey.Lane.SHORT) to ids.take(short),
        key.copy(lane = PoolKey.Lane.REST) to ids.drop(short),
    )
}
