package org.bilberrycart.membership

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.model.VmId

/**
 * What one node knows of the others.
 *
 * @property incarnation starts higher than that of any earlier process of the same VM.
 * @property seed the state of the random generator.
 * @property records the claim in force about each other member.
 * @property order the members still to probe in this round, in random order.
 * @property probes the probes in flight, by sequence.
 * @property relays the probes made for others, by sequence.
 * @property suspects until when each suspect may refute.
 * @property spreading the claims still to send, with the number of times sent.
 * @property deadSince when each dead or departed member became so.
 */
public data class MembershipState(
    val self: Member,
    val incarnation: Long = maxOf(1, self.run),
    val settings: MembershipSettings = MembershipSettings(),
    val seed: Long = self.vm.value.hashCode().toLong(),
    val leaving: Boolean = false,
    val left: Boolean = false,
    val records: PersistentMap<VmId, MemberRecord> = persistentHashMapOf(),
    val order: PersistentList<VmId> = persistentListOf(),
    val probes: PersistentMap<Long, Probe> = persistentHashMapOf(),
    val relays: PersistentMap<Long, Relay> = persistentHashMapOf(),
    val suspects: PersistentMap<VmId, Duration> = persistentHashMapOf(),
    val spreading: PersistentMap<VmId, Spread> = persistentHashMapOf(),
    val deadSince: PersistentMap<VmId, Duration> = persistentHashMapOf(),
    val firstAddresses: PersistentSet<PeerAddress> = persistentHashSetOf(),
    val sequence: Long = 0,
    val lastTick: Duration? = null,
    val nextProbe: Duration = Duration.ZERO,
    val nextGreet: Duration = Duration.ZERO,
    val counts: MembershipCounts = MembershipCounts(),
) {
    /** The claim of this node about itself. */
    public val ownRecord: MemberRecord
        get() = MemberRecord(
            self,
            incarnation,
            if (left) MemberStatus.LEFT else MemberStatus.ALIVE,
            leaving,
        )

    /** The number of members that are not dead or gone, this node included. */
    public val liveCount: Int
        get() = records.size - deadSince.size + 1

    /** The other members that can answer. */
    public fun reachable(): List<MemberRecord> = records.values.filter { it.isReachable }

    /** A probe of [target] sent at [sentAt]; [indirect] once others were asked as well. */
    public data class Probe(val target: VmId, val sentAt: Duration, val indirect: Boolean = false)

    /** A probe made for [origin], which knows it as [sequence]. */
    public data class Relay(val origin: Member, val sequence: Long, val sentAt: Duration)

    /** A claim that was sent [sent] times. */
    public data class Spread(val record: MemberRecord, val sent: Int = 0)
}
