package org.bilberrycart.store

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The node's share of the platform's limits.
 *
 * @property transactionsPerSecond write transactions of this node.
 * @property readsPerSecond reads of this node.
 * @property groupsPerTransaction the largest number of groups in one transaction.
 * @property transactionsInFlight transactions sent and not yet answered.
 * @property queued calls that wait at once; more are refused.
 * @property timeout how long one exchange may take.
 */
public data class PlatformLimits(
    val transactionsPerSecond: Double = 60.0,
    val readsPerSecond: Double = 400.0,
    val groupsPerTransaction: Int = 200,
    val transactionsInFlight: Int = 2,
    val queued: Int = 20_000,
    val timeout: Duration = 700.milliseconds,
) {
    public companion object {
        /** Transactions a second that the whole fleet may make. */
        private const val FLEET_TRANSACTIONS_PER_SECOND = 240.0

        /** Reads a second that the whole fleet may make. */
        private const val FLEET_READS_PER_SECOND = 1_600.0

        /** Returns the share of one of [nodes] nodes; four fifths of the limits are shared out. */
        public fun shareOf(nodes: Int): PlatformLimits {
            require(nodes > 0) { "a fleet has at least one node, got $nodes" }
            return PlatformLimits(
                transactionsPerSecond = FLEET_TRANSACTIONS_PER_SECOND / nodes,
                readsPerSecond = FLEET_READS_PER_SECOND / nodes,
            )
        }
    }
}
