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
 * The membership state of one node.
 *
 * @property incarnation the incarnation of this node, which starts higher than that of any earlier
 *   process of the same VM.
 * @property seed the state of the pseudo-random generator.
 * @property leaving whether this node drains.
 * @property hasLeft whether this node announced its departure.
 * @property records the current record of each other member.
 * @property probeOrder the members still to probe in this round, in random order.
 * @property probes the probes in flight, by sequence.
 * @property relays the probes sent on behalf of other members, by sequence.
 * @property suspicionDeadlines the time until which each suspect may refute.
 * @property pendingUpdates the records still to disseminate.
 * @property unreachableSince when each dead or departed member became unreachable.
 * @property bootstrapAddresses the addresses tried in addition to those of dead members.
 */
public data class MembershipState(
    val self: Member,
    val incarnation: Long = maxOf(1, self.processNumber),
    val settings: MembershipSettings = MembershipSettings(),
    val seed: Long = self.vm.value.hashCode().toLong(),
    val leaving: Boolean = false,
    val hasLeft: Boolean = false,
    val records: PersistentMap<VmId, MemberRecord> = persistentHashMapOf(),
    val probeOrder: PersistentList<VmId> = persistentListOf(),
    val probes: PersistentMap<Long, Probe> = persistentHashMapOf(),
    val relays: PersistentMap<Long, Relay> = persistentHashMapOf(),
    val suspicionDeadlines: PersistentMap<VmId, Duration> = persistentHashMapOf(),
    val pendingUpdates: PersistentMap<VmId, PendingUpdate> = persistentHashMapOf(),
    val unreachableSince: PersistentMap<VmId, Duration> = persistentHashMapOf(),
    val bootstrapAddresses: PersistentSet<PeerAddress> = persistentHashSetOf(),
    val sequence: Long = 0,
    val lastTick: Duration? = null,
    val nextProbe: Duration = Duration.ZERO,
    val nextReconnect: Duration = Duration.ZERO,
    val counts: MembershipCounts = MembershipCounts(),
) {
    /** The record of this node itself. */
    public val ownRecord: MemberRecord
        get() = MemberRecord(
            self,
            incarnation,
            if (hasLeft) MemberStatus.LEFT else MemberStatus.ALIVE,
            leaving,
        )

    /** The number of members that are neither dead nor departed, including this node. */
    public val liveCount: Int
        get() = records.size - unreachableSince.size + 1

    /** Returns the records of the other members that are expected to answer. */
    public fun reachable(): List<MemberRecord> = records.values.filter { it.isReachable }

    /** A probe of [target] sent at [sentAt]; [isIndirect] once others were asked to probe. */
    public data class Probe(val target: VmId, val sentAt: Duration, val isIndirect: Boolean = false)

    /** A probe sent on behalf of [origin], whose own sequence for it is [sequence]. */
    public data class Relay(val origin: Member, val sequence: Long, val sentAt: Duration)

    /** A [record] to disseminate that was sent [sendCount] times so far. */
    public data class PendingUpdate(val record: MemberRecord, val sendCount: Int = 0)
}
