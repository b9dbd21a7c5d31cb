package org.bilberrycart.metrics

import org.bilberrycart.model.UpstreamId

/** What an operator may change on one node through its operator port. */
public sealed class OperatorChange {
    /** The node takes no new work and finishes what runs. */
    public data object Drain : OperatorChange()

    /** [upstream] gets no new work of this node. */
    public data class UpstreamLeaving(val upstream: UpstreamId) : OperatorChange()
}

/** Takes the changes that operators ask for. */
public fun interface OperatorChanges {
    /** Hands [change] to the duty concerned; returns false if its ring is full. Never waits. */
    public fun request(change: OperatorChange): Boolean
}
