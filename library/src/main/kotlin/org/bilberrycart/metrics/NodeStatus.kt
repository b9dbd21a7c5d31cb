package org.bilberrycart.metrics

/**
 * What the operator port shows of a node.
 *
 * All functions are called from threads of the server and read snapshots; they never wait.
 */
public interface NodeStatus {
    /** Returns whether the node takes new work. */
    public fun readiness(): Readiness

    /** Returns what the node does now. */
    public fun report(): StatusReport
}

/** Whether a node takes new work. */
public sealed class Readiness {
    /** It does. */
    public data object Ready : Readiness()

    /** It does not, because of [reason]. */
    public data class NotReady(val reason: String) : Readiness()
}
