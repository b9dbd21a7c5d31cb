package org.bilberrycart.lease

/** An event that the lease duty handles. */
public sealed class LeaseEvent {
    /** The read [operation] returned [stored], null before anyone took the lease; it may be old. */
    public data class Read(val operation: Long, val stored: StoredLease?) : LeaseEvent()

    /** The write [operation] was applied; the row now has [version]. */
    public data class Written(val operation: Long, val version: Long) : LeaseEvent()

    /** The write [operation] was not applied, because the table has [stored]. */
    public data class Conflict(val operation: Long, val stored: StoredLease?) : LeaseEvent()

    /** The store call [operation] failed; a write may have been applied if [mayHaveApplied]. */
    public data class Failed(val operation: Long, val mayHaveApplied: Boolean) : LeaseEvent()

    /** Membership decided whether this node is one of the few that may take the lease. */
    public data class EligibilityChanged(val isEligible: Boolean) : LeaseEvent()

    /** The node leaves the fleet and gives the lease up. */
    public data object Leaving : LeaseEvent()

    /** A periodic signal to renew or read the lease when it is due. */
    public data object Tick : LeaseEvent()
}
