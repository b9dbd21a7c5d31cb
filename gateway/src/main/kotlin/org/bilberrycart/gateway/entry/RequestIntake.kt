package org.bilberrycart.gateway.entry

import org.bilberrycart.gateway.model.RetryRule

/** The kinds of requests that a node accepts. */
public sealed class RequestIntake {
    /** All requests are accepted. */
    public data object All : RequestIntake()

    /** Calls are accepted, because they end soon; streams are refused. */
    public data object CallsOnly : RequestIntake()

    /** No request is accepted, because none could finish before the process exits. */
    public data object None : RequestIntake()

    /** Returns whether a call with the rule [retryRule] is accepted. */
    public fun accepts(retryRule: RetryRule): Boolean = when (this) {
        All -> true
        CallsOnly -> retryRule !is RetryRule.Stream
        None -> false
    }
}
