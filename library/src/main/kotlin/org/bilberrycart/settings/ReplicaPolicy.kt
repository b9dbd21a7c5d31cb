package org.bilberrycart.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What a service does with tokens while no other node can hold a replica. */
@Serializable
public enum class ReplicaPolicy {
    /** Holds them: no token is released that the loss of this node would lose. */
    @SerialName("hold")
    HOLD,

    /** Releases them: the answer goes on, but does not survive the loss of this node. */
    @SerialName("releaseAlone")
    RELEASE_ALONE,
}
