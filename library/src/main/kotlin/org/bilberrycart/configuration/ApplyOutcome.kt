package org.bilberrycart.configuration

/** How an attempt to apply a configuration ended. */
public sealed class ApplyOutcome {
    /** The version was read back: nodes adopt it and no other can take its number. */
    public data class Accepted(val version: Long) : ApplyOutcome()

    /** Another change came first; [current] is the newest version now. Nothing was changed. */
    public data class Conflict(val current: Long) : ApplyOutcome()

    /** The store did not answer, and nothing was changed. */
    public data object Unavailable : ApplyOutcome()

    /** The store did not answer; the change may be in force, as `config history` will show. */
    public data object Unknown : ApplyOutcome()
}
