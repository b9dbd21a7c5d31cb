package org.bilberrycart.store

/** Why a call to the platform returned no result. */
public enum class StoreFailure {
    /** The circuit breaker is open; nothing was sent. */
    CIRCUIT_OPEN,

    /** The node's own queue for the platform is full; nothing was sent. */
    QUEUE_FULL,

    /** The deadline passed before the call was sent. */
    EXPIRED,

    /** The platform refused the call because its rate limit was exceeded. */
    OVER_RATE,

    /** The platform refused the connection or the call. */
    REFUSED,

    /** No answer came within the timeout. */
    TIMED_OUT,

    /** The connection broke, or the answer was malformed. */
    BROKEN,
}
