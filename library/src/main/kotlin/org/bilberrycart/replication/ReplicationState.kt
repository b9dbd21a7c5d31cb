package org.bilberrycart.replication

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import org.bilberrycart.membership.Member
import org.bilberrycart.membership.MemberRecord
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.VmId

/**
 * One replication shard of a node.
 *
 * @property owned the generations that this node owns.
 * @property replicas the generations that it holds for others.
 * @property marks for each generation the last agreement that ended here; older ones stay over.
 * @property unsent the owned generations with something to send.
 */
public data class ReplicationState(
    val self: Member,
    val settings: ReplicationSettings = ReplicationSettings(),
    val members: PersistentMap<VmId, MemberRecord> = persistentHashMapOf(),
    val owned: PersistentMap<RequestId, Owned> = persistentHashMapOf(),
    val replicas: PersistentMap<RequestId, Replica> = persistentHashMapOf(),
    val marks: PersistentMap<RequestId, Marks> = persistentHashMapOf(),
    val unsent: PersistentSet<RequestId> = persistentHashSetOf(),
    val nextFlush: Duration = Duration.ZERO,
    val nextSweep: Duration = Duration.ZERO,
    val counts: ReplicationCounts = ReplicationCounts(),
) {
    /**
     * What ended here for one generation.
     *
     * @property fencedEpoch this node may not own the generation in this or an older epoch.
     * @property droppedKey this node may not hold it under this or an older key.
     */
    public data class Marks(
        val at: Duration,
        val fencedEpoch: Int = 0,
        val droppedKey: ReplicaKey? = null,
    )

    /** Whether the very process [member] can answer, as far as this node knows. */
    public fun isLive(member: Member): Boolean =
        members[member.vm]?.let { it.isReachable && it.member == member } ?: false

    /** Whether this node may no longer own [request] in [epoch]. */
    public fun isFenced(request: RequestId, epoch: Int): Boolean =
        (marks[request]?.fencedEpoch ?: 0) >= epoch

    /** Whether this node may no longer hold a replica under [key]. */
    public fun isDropped(key: ReplicaKey): Boolean =
        marks[key.request]?.droppedKey?.let { it >= key } ?: false
}
