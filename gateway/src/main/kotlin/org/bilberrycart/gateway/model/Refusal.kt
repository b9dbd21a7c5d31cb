package org.bilberrycart.gateway.model

import kotlin.time.Duration

/** An answer of the node's own, with the [code] that the table of result codes explains. */
public sealed class Refusal(public val code: Int, public val reason: String) {
    /** The call names no route. */
    public data object UnknownRoute : Refusal(6001, "no route for this host and path")

    /** The caller's key is unknown, or it sent none. */
    public data object UnknownKey : Refusal(6002, "unknown key")

    /** The request can't be understood. */
    public data class Malformed(val detail: String) : Refusal(6003, "malformed request: $detail")

    /** The body is longer than the configuration allows. */
    public data object TooLarge : Refusal(6004, "the body is too long")

    /** The call has not run and will not run; the caller may come back after [retryAfter]. */
    public data class NotRun(val detail: String, val retryAfter: Duration) :
        Refusal(6005, "not run: $detail")

    /** An upstream took the call and broke off; it may have run. */
    public data class Broken(val detail: String) : Refusal(6006, "upstream failed: $detail")

    /** The time of the call is over; it may have run. */
    public data class TimedOut(val detail: String) : Refusal(6007, "timed out: $detail")
}
