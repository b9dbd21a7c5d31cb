package org.bilberrycart.routing

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.model.UpstreamId

/**
 * The upstreams of one [PoolKey] and the work that waits for them.
 *
 * @property home the upstreams that this node prefers and few other nodes do, so that its own count
 * of their load is nearly exact; empty if it prefers none.
 * @property local the upstreams in the data centre of the node.
 * @property remote the upstreams in other data centres.
 * @property cursor the position of [RoutingPolicy.RoundRobin].
 * @property waiting placements that wait, in the order in which they will be placed.
 * @property slots the slots of all its upstreams.
 * @property retryBudget how many retries may be placed now.
 */
public data class Pool(
    val home: PersistentList<UpstreamId> = persistentListOf(),
    val local: PersistentList<UpstreamId> = persistentListOf(),
    val remote: PersistentList<UpstreamId> = persistentListOf(),
    val cursor: Int = 0,
    val waiting: PersistentList<Waiting> = persistentListOf(),
    val slots: Int = 0,
    val retryBudget: Double = MIN_RETRY_BURST,
) {
    /** The number of upstreams. */
    val size: Int
        get() = local.size + remote.size

    /** Returns the upstream at [index], the local ones first. */
    public operator fun get(index: Int): UpstreamId =
        if (index < local.size) local[index] else remote[index - local.size]

    /** The most retries that may be placed at once: all running work may be lost together. */
    val retryBurst: Double
        get() = maxOf(MIN_RETRY_BURST, slots.toDouble())

    /** Returns this pool after a first attempt, which earns [share] of a retry. */
    internal fun earnRetry(share: Double): Pool =
        copy(retryBudget = minOf(retryBurst, retryBudget + share))

    /** Returns this pool after one retry; running generations may owe up to one burst. */
    internal fun spendRetry(): Pool = copy(retryBudget = maxOf(-retryBurst, retryBudget - 1))

    private companion object {
        const val MIN_RETRY_BURST = 10.0
    }
}
