package org.bilberrycart.lease

/** What the lease duty reacts to. */
public sealed class LeaseEvent {
    /** The table has [stored]; null if nobody ever took the lease. It may be out of date. */
    public data class Read(val operation: Long, val stored: StoredLease?) : LeaseEvent()

    /** The write [operation] was applied. */
    public data class Written(val operation: Long, val version: Long) : LeaseEvent()

    /** The write [operation] was not applied; the table has [stored]. */
    public data class Conflict(val operation: Long, val stored: StoredLease?) : LeaseEvent()

    /** [operation] brought nothing; a write may have been applied if [mayHaveApplied]. */
    public data class Failed(val operation: Long, val mayHaveApplied: Boolean) : LeaseEvent()

    /** Membership chose this node as one of the few that may take the lease, or no longer. */
    public data class EligibilityChanged(val isEligible: Boolean) : LeaseEvent()

    /** The node leaves. */
    public data object Leaving : LeaseEvent()

    /** Time has passed. */
    public data object Tick : LeaseEvent()
}
