package org.bilberrycart.lease

import kotlin.time.Duration

/** What the lease duty asks for. */
public sealed class LeaseAction {
    /** Read the lease. */
    public data class Read(val operation: Long) : LeaseAction()

    /** Write [record] if the row has the version [expected]; null if there must be no row. */
    public data class Write(val operation: Long, val record: LeaseRecord, val expected: Long?) :
        LeaseAction()

    /** This node holds the lease with [fencing] until [validUntil] by its own clock. */
    public data class Held(val fencing: Long, val validUntil: Duration) : LeaseAction()

    /** This node no longer holds the lease of [fencing]. */
    public data class Lapsed(val fencing: Long) : LeaseAction()
}
