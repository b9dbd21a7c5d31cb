package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.bilberrycart.gateway.model.RetryUse

/**
 * What this node knows of the retries of all other nodes for one service.
 *
 * @property peers the sum of what they reported, a few hundred milliseconds old.
 * @property heardNodes the nodes that report at present, this one included.
 * @property knownNodes the most nodes known at a time; null before any gossip was received.
 * @property isStarting whether this process runs for less than the window of the budget, so that
 *   it may have forgotten retries and not know all nodes yet.
 * @property reportAge the time since the node that has been silent for longest was heard.
 * @property isCurrent whether this node handles reports without delay, see [TickLag].
 */
public data class FleetRetries(
    val peers: RetryUse = RetryUse(),
    val heardNodes: Int = 1,
    val knownNodes: Int? = null,
    val isCurrent: Boolean = true,
    val isStarting: Boolean = false,
    val reportAge: Duration = Duration.ZERO,
) {
    /** The number of nodes among which the budget is divided. */
    internal val nodes: Int
        get() = when {
            knownNodes == null -> DEFAULT_NODES
            isStarting -> maxOf(knownNodes, DEFAULT_NODES)
            else -> maxOf(knownNodes, MIN_NODES)
        }

    /** The part of the slack that all nodes may share, as far as this node may use it. */
    internal val sharedSlackPart: Double
        get() = if (isStarting) STARTING_SLACK_PART else 1.0

    /** The part of the nodes whose use is known; the others may be cut off and still retry. */
    internal val heardShare: Double
        get() = minOf(1.0, heardNodes.toDouble() / nodes)

    /**
     * Other nodes know of a retry after this time, which grows with the gossip interval. While a
     * report of theirs is overdue, those of this node may not arrive either.
     */
    internal val reportDelay: Duration
        get() = maxOf(MIN_REPORT_DELAY + REPORT_DELAY_PER_NODE * nodes, reportAge)

    private companion object {
        val MIN_REPORT_DELAY = 150.milliseconds
        val REPORT_DELAY_PER_NODE = 14.milliseconds
        const val MIN_NODES = 4
        const val DEFAULT_NODES = 32

        /** Small, as all nodes may start at once, several times within a window. */
        const val STARTING_SLACK_PART = 0.1
    }
}
