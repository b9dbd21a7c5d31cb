package org.bilberrycart.metrics

import org.bilberrycart.model.UpstreamId

/** A change to one node that an operator requests through its operator port. */
public sealed class OperatorChange {
    /** The node accepts no new work and finishes the work in progress. */
    public data object Drain : OperatorChange()

    /** This node sends no new work to [upstream]. */
    public data class UpstreamLeaving(val upstream: UpstreamId) : OperatorChange()
}

/** Receives the changes that operators request. */
public fun interface OperatorChanges {
    /**
     * Passes [change] to the duty that applies it, without waiting.
     *
     * Returns false if the ring of that duty is full.
     */
    public fun request(change: OperatorChange): Boolean
}
