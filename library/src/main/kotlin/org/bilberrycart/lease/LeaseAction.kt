package org.bilberrycart.lease

import kotlin.time.Duration

/** An action that the lease duty requests. */
public sealed class LeaseAction {
    /** Read the row of the lease as the store call [operation]. */
    public data class Read(val operation: Long) : LeaseAction()

    /** Write [record] if the row has version [expected], or if there is no row when it is null. */
    public data class Write(val operation: Long, val record: LeaseRecord, val expected: Long?) :
        LeaseAction()

    /** Report that this node holds the lease of [fencing] until [validUntil] by its own clock. */
    public data class Held(val fencing: Long, val validUntil: Duration) : LeaseAction()

    /** Report that this node no longer holds the lease of [fencing]. */
    public data class Lost(val fencing: Long) : LeaseAction()
}
