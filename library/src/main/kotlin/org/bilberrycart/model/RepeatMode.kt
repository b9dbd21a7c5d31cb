package org.bilberrycart.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Declares how the calls of a service may be repeated. */
@Serializable
public enum class RepeatMode {
    /** Calls may be retried freely. */
    @SerialName("idempotent")
    IDEMPOTENT,

    /** The service itself drops repeats of an idempotency key. */
    @SerialName("keyed")
    KEYED,

    /** A call runs at most once; callers bring an idempotency key. */
    @SerialName("never")
    NEVER,
}
