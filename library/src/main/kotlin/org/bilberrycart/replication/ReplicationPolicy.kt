package org.bilberrycart.replication

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What a service does about the loss of the node that owns a generation. */
@Serializable
public sealed class ReplicationPolicy {
    /** Each token is held back until a replica holder has it, at most for [holdLimit]. */
    @Serializable
    @SerialName("required")
    public data class Required(val holdLimit: Duration = 30.seconds) : ReplicationPolicy()

    /** As [Required] while any peer can hold; without one, tokens are released alone. */
    @Serializable
    @SerialName("preferred")
    public data object Preferred : ReplicationPolicy()

    /** No replica; the loss of the node loses its generations. */
    @Serializable
    @SerialName("off")
    public data object Off : ReplicationPolicy()
}
