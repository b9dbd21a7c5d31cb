package org.bilberrycart.idempotency

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How far the call of a record is known to be. */
@Serializable
public sealed class Progress {
    /** Its owner may dispatch it, or has done so. */
    @Serializable
    @SerialName("pending")
    public data object Pending : Progress()

    /** The service answered; a repeat gets the same answer. */
    @Serializable
    @SerialName("done")
    public data class Done(val status: Int, val body: String) : Progress()

    /** Its owner never sent it and never will; a repeat may run. */
    @Serializable
    @SerialName("notRun")
    public data object NotRun : Progress()

    /** It may have run; no repeat runs. */
    @Serializable
    @SerialName("unknown")
    public data object Unknown : Progress()
}
