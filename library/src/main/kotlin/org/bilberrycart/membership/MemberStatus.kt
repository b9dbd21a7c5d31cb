package org.bilberrycart.membership

import kotlinx.serialization.Serializable

/** What the fleet believes of a member; of two claims of one incarnation the later one wins. */
@Serializable
public enum class MemberStatus {
    /** It answers probes. */
    ALIVE,

    /** It missed a direct and the indirect probes and may still refute. */
    SUSPECT,

    /** It did not refute the suspicion in time. */
    DEAD,

    /** It said that it left. */
    LEFT,
}
