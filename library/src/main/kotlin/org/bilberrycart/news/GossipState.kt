package org.bilberrycart.news

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.bilberrycart.membership.Member
import org.bilberrycart.membership.MemberRecord
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.VmId

/**
 * The gossip state of one node.
 *
 * @property seed the state of the pseudo-random generator.
 * @property members the current record of each other member.
 * @property items the newest item of each subject.
 * @property reports the usage that each node reported of the organisations that this node sums.
 * @property nextGossip when the next gossip round is due.
 * @property nextAntiEntropy when the next random items are sent.
 */
public data class GossipState(
    val self: Member,
    val settings: GossipSettings = GossipSettings(),
    val seed: Long = self.vm.value.hashCode().toLong(),
    val members: PersistentMap<VmId, MemberRecord> = persistentHashMapOf(),
    val items: PersistentMap<GossipItem.Subject, KnownItem> = persistentHashMapOf(),
    val reports: PersistentMap<OrganisationId, PersistentMap<VmId, ReceivedUsage>> =
        persistentHashMapOf(),
    val nextGossip: Duration = Duration.ZERO,
    val nextAntiEntropy: Duration = Duration.ZERO,
) {
    /** Returns the other members that are expected to answer. */
    public fun reachable(): List<Member> =
        members.values.filter { it.isReachable }.map { it.member }

    /** An [item] that is kept until [expiresAt] and was sent [sendCount] times so far. */
    public data class KnownItem(
        val item: GossipItem,
        val expiresAt: Duration,
        val sendCount: Int = 0,
    )

    /** The [usage] that one node reported; the report arrived at [receivedAt]. */
    public data class ReceivedUsage(val usage: OrganisationUsage, val receivedAt: Duration)
}
