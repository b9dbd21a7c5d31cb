package org.bilberrycart.replication

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.bilberrycart.model.VmId

/**
 * How one [ReplicaKey] ended when its two nodes could not reach each other.
 *
 * The platform's table keeps the first verdict written for a key; later writers read that one.
 */
@Serializable
public sealed class Verdict {
    /** The [holder] may give the generation to a new owner; the old one is fenced. */
    @Serializable
    @SerialName("claimed")
    public data class Claimed(val holder: VmId) : Verdict()

    /** The owner goes on in [term] with another [holder], or alone; the old replica is void. */
    @Serializable
    @SerialName("switched")
    public data class Switched(val term: Int, val holder: VmId?) : Verdict()
}
