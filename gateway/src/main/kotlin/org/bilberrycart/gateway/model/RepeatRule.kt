package org.bilberrycart.gateway.model

/** What may be done with a call after it may have reached an upstream. */
public sealed class RepeatRule {
    /** A call that may run any number of times. */
    public data object Idempotent : RepeatRule()

    /** A call that may run at most once. */
    public data object Once : RepeatRule()

    /** A generation; when [isResumable] it may go on at another upstream after its last event. */
    public data class Stream(val isResumable: Boolean) : RepeatRule()

    /** Whether the call may be sent again after it may have run. */
    public val mayRunAgain: Boolean
        get() = when (this) {
            Idempotent -> true
            Once -> false
            is Stream -> isResumable
        }
}
