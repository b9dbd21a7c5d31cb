package org.bilberrycart.membership

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/**
 * The status of a member in one of its incarnations, as disseminated between members.
 *
 * @property incarnation a version of the record that only the member itself increases, for example
 *   to refute a suspicion.
 * @property leaving whether the member accepts no new work and no new replicas.
 */
@Serializable
@CborArray
public data class MemberRecord(
    val member: Member,
    val incarnation: Long,
    val status: MemberStatus = MemberStatus.ALIVE,
    val leaving: Boolean = false,
) {
    /** Whether the member is expected to answer messages. */
    public val isReachable: Boolean
        get() = status == MemberStatus.ALIVE || status == MemberStatus.SUSPECT

    /** Returns whether this record replaces [other], a record of the same member. */
    public fun supersedes(other: MemberRecord): Boolean = when {
        incarnation != other.incarnation -> incarnation > other.incarnation
        else -> status > other.status
    }
}
