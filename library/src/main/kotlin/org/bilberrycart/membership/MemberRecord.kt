package org.bilberrycart.membership

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/**
 * One claim about a member; also the unit that members spread.
 *
 * @property incarnation only the member itself raises it, to refute a suspicion.
 * @property leaving whether it takes no new work and no new replicas.
 */
@Serializable
@CborArray
public data class MemberRecord(
    val member: Member,
    val incarnation: Long,
    val status: MemberStatus = MemberStatus.ALIVE,
    val leaving: Boolean = false,
) {
    /** Whether messages to the member can still be answered. */
    public val isReachable: Boolean
        get() = status == MemberStatus.ALIVE || status == MemberStatus.SUSPECT

    /** Returns whether this claim replaces [other]. */
    public fun supersedes(other: MemberRecord): Boolean = when {
        incarnation != other.incarnation -> incarnation > other.incarnation
        else -> status > other.status
    }
}
