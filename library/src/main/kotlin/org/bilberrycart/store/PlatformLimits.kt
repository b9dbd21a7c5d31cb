package org.bilberrycart.store

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The node's share of the platform's rate limits, and the limits of its own queue.
 *
 * @property transactionsPerSecond write transactions that this node may send each second.
 * @property readsPerSecond reads that this node may send each second.
 * @property maxGroupsPerTransaction the largest number of groups in one transaction.
 * @property maxTransactionsInFlight how many transactions may await their answer at once.
 * @property maxQueuedCalls how many calls may wait at once; further calls are refused.
 * @property exchangeTimeout how long the platform may take to answer one request.
 */
public data class PlatformLimits(
    val transactionsPerSecond: Double = 60.0,
    val readsPerSecond: Double = 400.0,
    val maxGroupsPerTransaction: Int = 200,
    val maxTransactionsInFlight: Int = 2,
    val maxQueuedCalls: Int = 20_000,
    val exchangeTimeout: Duration = 700.milliseconds,
) {
    public companion object {
        /** The transactions that all nodes together may send each second. */
        private const val FLEET_TRANSACTIONS_PER_SECOND = 240.0

        /** The reads that all nodes together may send each second. */
        private const val FLEET_READS_PER_SECOND = 1_600.0

        /**
         * Returns the limits of one of [nodes] nodes. The nodes together use four fifths of the
         * platform's rates.
         */
        public fun shareOf(nodes: Int): PlatformLimits {
            require(nodes > 0) { "the number of nodes must be positive, got $nodes" }
            return PlatformLimits(
                transactionsPerSecond = FLEET_TRANSACTIONS_PER_SECOND / nodes,
                readsPerSecond = FLEET_READS_PER_SECOND / nodes,
            )
        }
    }
}
