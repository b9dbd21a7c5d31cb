package org.bilberrycart.replication

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How a service protects its generations against the loss of the node that owns them. */
@Serializable
public sealed class ReplicationPolicy {
    /** A token is held back until a holder has it; after [holdLimit] the generation fails. */
    @Serializable
    @SerialName("required")
    public data class Required(val holdLimit: Duration = 30.seconds) : ReplicationPolicy()

    /** As [Required] while a peer can be the holder; otherwise tokens are released without one. */
    @Serializable
    @SerialName("preferred")
    public data object Preferred : ReplicationPolicy()

    /** There are no replicas, so generations are lost with their node. */
    @Serializable
    @SerialName("off")
    public data object Off : ReplicationPolicy()
}
