package org.bilberrycart.routing

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentHashMap
import kotlinx.collections.immutable.toPersistentList

/** Returns this state after the position of this node among the live nodes changed. */
internal fun RoutingState.withNodePosition(event: RoutingEvent.NodesChanged): RoutingState {
    val next = copy(nodeIndex = event.index, nodeCount = event.count)
    val pools = pools.mapValues { (key, pool) -> next.withPreferred(key, pool) }
    return next.copy(pools = pools.toPersistentHashMap())
}

/**
 * Returns [pool] with the upstreams that this node prefers.
 *
 * The upstreams form a ring, ordered by data centre and id, on which the nodes are spaced evenly.
 * Each node prefers the upstreams from its position on: its equal part of them, but at least
 * [MIN_PREFERRED]. A node prefers none if the part is the whole pool, if it is the only node, or if
 * the policy is round robin.
 */
internal fun RoutingState.withPreferred(key: PoolKey, pool: Pool): Pool {
    val isRoundRobin = routingOf(key.service).policy == RoutingPolicy.RoundRobin
    val preferredCount = maxOf(MIN_PREFERRED, (pool.size + nodeCount - 1) / nodeCount)
    if (isRoundRobin ||
        nodeCount == 1 ||
        preferredCount >= pool.size
    ) {
        return pool.copy(preferred = persistentListOf())
    }
    val ring = (pool.local + pool.remote).sortedWith(
        compareBy({ upstreams.getValue(it).upstream.dataCentre.value }, { it.value }),
    )
    val firstIndex = nodeIndex * ring.size / nodeCount
    return pool.copy(
        preferred = List(preferredCount) { ring[(firstIndex + it) % ring.size] }.toPersistentList(),
    )
}

private const val MIN_PREFERRED = 4
