package org.bilberrycart.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How a service treats tokens while no other node can hold a replica of them. */
@Serializable
public enum class ReplicaPolicy {
    /** Holds tokens back, so that the loss of this node loses no released token. */
    @SerialName("hold")
    HOLD,

    /** Releases tokens without a replica; the answer does not survive the loss of this node. */
    @SerialName("releaseAlone")
    RELEASE_ALONE,
}
