package org.bilberrycart.store

/** Why a call to the platform brought no result. */
public enum class StoreFailure {
    /** The circuit breaker is open; nothing was sent. */
    CIRCUIT_OPEN,

    /** The node's own queue for the platform is full; nothing was sent. */
    QUEUE_FULL,

    /** The call waited too long for its turn; nothing was sent. */
    EXPIRED,

    /** The platform refused the call because of its rate. */
    OVER_RATE,

    /** The platform refused the connection or the call. */
    REFUSED,

    /** No answer came within the timeout. */
    TIMED_OUT,

    /** The connection broke, or the answer is not of the protocol. */
    BROKEN,
}
