package org.bilberrycart.gateway.entry

import kotlin.time.Duration
import org.bilberrycart.gateway.model.RetryRule

/** The kinds of requests that a node accepts. */
public sealed class RequestIntake {
    /** All requests are accepted. */
    public data object All : RequestIntake()

    /** Calls are accepted, because they end soon; streams are refused. */
    public data object CallsOnly : RequestIntake()

    /** Calls are accepted if their deadline is not after [until]; streams are refused. */
    public data class ShortCallsOnly(val until: Duration) : RequestIntake()

    /** No request is accepted, because none could finish before the process exits. */
    public data object None : RequestIntake()

    /** Returns whether a call with the rule [retryRule] and [deadline] is accepted. */
    public fun accepts(retryRule: RetryRule, deadline: Duration): Boolean = when (this) {
        All -> true
        CallsOnly -> retryRule !is RetryRule.Stream
        is ShortCallsOnly -> retryRule !is RetryRule.Stream && deadline <= until
        None -> false
    }
}
