package org.bilberrycart.routing

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.model.UpstreamId

/**
 * The upstreams of one [PoolKey] and the placements that wait for them.
 *
 * @property preferred the upstreams that this node prefers and few other nodes do, so that its own
 * count of their load is nearly exact; empty if it prefers none.
 * @property local the upstreams in the data centre of the node.
 * @property remote the upstreams in other data centres.
 * @property cursor the index at which [RoutingPolicy.RoundRobin] continues.
 * @property waiting the placements that wait for a slot, the most urgent first.
 * @property slots the sum of the slots of its upstreams.
 * @property retryBudget how many retries may be placed now; negative if it is overdrawn.
 */
public data class Pool(
    val preferred: PersistentList<UpstreamId> = persistentListOf(),
    val local: PersistentList<UpstreamId> = persistentListOf(),
    val remote: PersistentList<UpstreamId> = persistentListOf(),
    val cursor: Int = 0,
    val waiting: PersistentList<WaitingPlacement> = persistentListOf(),
    val slots: Int = 0,
    val retryBudget: Double = MIN_RETRY_BURST,
) {
    /** The number of upstreams. */
    val size: Int
        get() = local.size + remote.size

    /** Returns the upstream at [index], the local ones first. */
    public operator fun get(index: Int): UpstreamId =
        if (index < local.size) local[index] else remote[index - local.size]

    /**
     * The upper bound of the retry budget.
     *
     * It is the number of slots, because all running work may be lost together, but at least
     * [MIN_RETRY_BURST].
     */
    val retryBurst: Double
        get() = maxOf(MIN_RETRY_BURST, slots.toDouble())

    /** Returns this pool after a first attempt, which adds [share] of a retry to the budget. */
    internal fun withRetryEarned(share: Double): Pool =
        copy(retryBudget = minOf(retryBurst, retryBudget + share))

    /** Returns this pool after one retry; the budget may be overdrawn by up to one [retryBurst]. */
    internal fun withRetrySpent(): Pool = copy(retryBudget = maxOf(-retryBurst, retryBudget - 1))

    private companion object {
        const val MIN_RETRY_BURST = 10.0
    }
}
