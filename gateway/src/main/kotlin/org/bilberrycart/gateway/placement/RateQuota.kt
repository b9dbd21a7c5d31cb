package org.bilberrycart.gateway.placement

import kotlin.math.floor
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * This node's part of the rate limit of one upstream.
 *
 * A limit may be far below one request a second a node, so it is divided among as many nodes as
 * it can serve, the senders, which all nodes derive alike from [NodeShare]. The other nodes only
 * try the upstream from time to time, one after the other, to learn when its limit ends.
 *
 * @property perSecond the requests a second that this node may send; 0 if it is no sender.
 * @property trialInterval the time between two trials of a node that is no sender.
 * @property trialOffset how much later than the first node this one makes its trials.
 */
internal data class RateQuota(
    val perSecond: Double,
    val trialInterval: Duration,
    val trialOffset: Duration,
) {
    /** How many unused requests may be saved up. */
    val burst: Double
        get() = if (perSecond > 0) maxOf(1.0, perSecond * SAVED_SECONDS) else 0.0

    companion object {
        /** Senders beyond the limit's whole requests a second; each may send a saved request. */
        private const val EXTRA_SENDERS = 2
        private const val SAVED_SECONDS = 0.5
        private const val MAX_SENDERS = 1e6
        private val TRIAL_INTERVAL_PER_NODE = 2.seconds
        private val MIN_TRIAL_INTERVAL = 10.seconds

        /**
         * Returns the quota of the node that is at [rank] for an upstream that takes [limit]
         * requests a second from all nodes; [nodes] is how many there are, null if unknown.
         */
        fun of(limit: Double, rank: Int, nodes: Int?): RateQuota {
            val served = floor(minOf(limit, MAX_SENDERS)).toInt() + EXTRA_SENDERS
            val senders = if (nodes == null) served else minOf(served, nodes)
            val interval = maxOf(MIN_TRIAL_INTERVAL, TRIAL_INTERVAL_PER_NODE * (nodes ?: 0))
            return RateQuota(
                perSecond = if (rank < senders) limit / senders else 0.0,
                trialInterval = interval,
                trialOffset = interval * (rank.toDouble() / (nodes ?: 1)),
            )
        }
    }
}
