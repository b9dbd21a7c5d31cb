package org.bilberrycart.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether and how the calls of a service may be retried. */
@Serializable
public enum class RepeatMode {
    /** Calls may be retried any number of times. */
    @SerialName("idempotent")
    IDEMPOTENT,

    /** The service itself discards repeated calls with the same idempotency key. */
    @SerialName("keyed")
    KEYED,

    /** A call runs at most once; callers must send an idempotency key. */
    @SerialName("never")
    NEVER,
}
