package org.bilberrycart.idempotency

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What a call record says about the execution of its call. */
@Serializable
public sealed class Progress {
    /** The owner may dispatch the call, or has dispatched it. */
    @Serializable
    @SerialName("pending")
    public data object Pending : Progress()

    /** The service answered with [status] and [body]; a repeat gets the same answer. */
    @Serializable
    @SerialName("done")
    public data class Done(val status: Int, val body: String) : Progress()

    /** The owner never sent the call and never will; a repeat may run. */
    @Serializable
    @SerialName("notRun")
    public data object NotRun : Progress()

    /** The call may have run, so no repeat runs. */
    @Serializable
    @SerialName("unknown")
    public data object Unknown : Progress()
}
