package org.bilberrycart.configuration

/** The outcome of an attempt to apply a configuration. */
public sealed class ApplyOutcome {
    /** [version] was read back: nodes adopt it, and no other document can get its number. */
    public data class Accepted(val version: Long) : ApplyOutcome()

    /** Another change came first; [current] is the newest version now. Nothing was changed. */
    public data class Conflict(val current: Long) : ApplyOutcome()

    /** The store did not answer, and nothing was changed. */
    public data object Unavailable : ApplyOutcome()

    /** The store did not answer; `config history` will show whether the change is in force. */
    public data object Unknown : ApplyOutcome()
}
