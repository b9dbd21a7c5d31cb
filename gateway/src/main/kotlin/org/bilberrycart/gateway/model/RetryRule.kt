package org.bilberrycart.gateway.model

/** Whether and how a call may be retried after it may have run at an upstream. */
public sealed class RetryRule {
    /** A call that may run any number of times. */
    public data object Idempotent : RetryRule()

    /** A call that may run at most once. */
    public data object AtMostOnce : RetryRule()

    /** A stream; if [isResumable], another upstream may continue it after its last event. */
    public data class Stream(val isResumable: Boolean) : RetryRule()

    /** Whether the call may be retried after it may have run. */
    public val isRetryable: Boolean
        get() = when (this) {
            Idempotent -> true
            AtMostOnce -> false
            is Stream -> isResumable
        }
}
