package org.bilberrycart.membership

import kotlinx.serialization.Serializable

/**
 * The state of a member as the fleet sees it.
 *
 * Between two records of the same incarnation, the status declared later in this enum wins.
 */
@Serializable
public enum class MemberStatus {
    /** The member answers probes. */
    ALIVE,

    /** The member answered neither a direct nor an indirect probe and may still refute this. */
    SUSPECT,

    /** The member did not refute the suspicion in time. */
    DEAD,

    /** The member announced that it left the fleet. */
    LEFT,
}
