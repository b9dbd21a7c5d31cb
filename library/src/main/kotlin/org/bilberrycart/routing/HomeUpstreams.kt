package org.bilberrycart.routing

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentHashMap
import kotlinx.collections.immutable.toPersistentList

/** Returns this state once the node has another place among the live nodes. */
internal fun RoutingState.divided(event: RoutingEvent.NodesChanged): RoutingState {
    val next = copy(nodeIndex = event.index, nodeCount = event.count)
    val pools = pools.mapValues { (key, pool) -> next.withHome(key, pool) }
    return next.copy(pools = pools.toPersistentHashMap())
}

/**
 * Returns [pool] with the upstreams that this node prefers.
 *
 * The nodes stand evenly spaced around the ring of the upstreams, ordered by data centre, and each
 * prefers those that follow its place: its part of them, and at least [MIN_HOME].
 */
internal fun RoutingState.withHome(key: PoolKey, pool: Pool): Pool {
    val isBlind = routingOf(key.service).policy == RoutingPolicy.RoundRobin
    val wanted = maxOf(MIN_HOME, (pool.size + nodeCount - 1) / nodeCount)
    if (isBlind ||
        nodeCount == 1 ||
        wanted >= pool.size
    ) {
        return pool.copy(home = persistentListOf())
    }
    val ring = (pool.local + pool.remote).sortedWith(
        compareBy({ upstreams.getValue(it).upstream.dataCentre.value }, { it.value }),
    )
    val first = nodeIndex * ring.size / nodeCount
    return pool.copy(home = List(wanted) { ring[(first + it) % ring.size] }.toPersistentList())
}

private const val MIN_HOME = 4
