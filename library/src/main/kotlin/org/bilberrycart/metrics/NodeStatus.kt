package org.bilberrycart.metrics

/**
 * The status of a node that its operator port shows.
 *
 * The functions are called from threads of the HTTP server; they read snapshots and never block.
 */
public interface NodeStatus {
    /** Returns whether the node accepts new work. */
    public fun readiness(): Readiness

    /** Returns a report of the current state of the node. */
    public fun report(): StatusReport
}

/** Whether a node accepts new work. */
public sealed class Readiness {
    /** The node accepts new work. */
    public data object Ready : Readiness()

    /** The node accepts no new work because of [reason]. */
    public data class NotReady(val reason: String) : Readiness()
}
