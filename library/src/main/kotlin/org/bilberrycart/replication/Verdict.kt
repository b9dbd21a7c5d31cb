package org.bilberrycart.replication

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.bilberrycart.model.VmId

/**
 * The decision which node continues a generation after its owner and the holder of its replica
 * could not reach each other.
 *
 * The platform's table keeps the first verdict written for a [ReplicaKey]; later writers get that
 * verdict instead of their own.
 */
@Serializable
public sealed class Verdict {
    /** The [holder] may grant the generation to a new owner, and the old owner is fenced. */
    @Serializable
    @SerialName("claimed")
    public data class Claimed(val holder: VmId) : Verdict()

    /** The owner goes on in [term] with another [holder] or none; the old replica is discarded. */
    @Serializable
    @SerialName("switched")
    public data class Switched(val term: Int, val holder: VmId?) : Verdict()
}
