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
 * The state of one replication shard of a node.
 *
 * @property owned the generations that this node owns.
 * @property replicas the replicas that this node holds for others.
 * @property tombstones what ended at this node, by generation.
 * @property unsent the owned generations with something to send.
 * @property nextFlush when the next batch may be sent.
 * @property nextSweep when the time limits are next checked.
 */
public data class ReplicationState(
    val self: Member,
    val settings: ReplicationSettings = ReplicationSettings(),
    val members: PersistentMap<VmId, MemberRecord> = persistentHashMapOf(),
    val owned: PersistentMap<RequestId, OwnedGeneration> = persistentHashMapOf(),
    val replicas: PersistentMap<RequestId, Replica> = persistentHashMapOf(),
    val tombstones: PersistentMap<RequestId, Tombstone> = persistentHashMapOf(),
    val unsent: PersistentSet<RequestId> = persistentHashSetOf(),
    val nextFlush: Duration = Duration.ZERO,
    val nextSweep: Duration = Duration.ZERO,
    val counters: ReplicationCounters = ReplicationCounters(),
) {
    /**
     * Records what ended at this node for one generation.
     *
     * @property at when the last end was recorded.
     * @property fencedEpoch the latest epoch in which this node may no longer own the generation.
     * @property droppedKey the latest key under which it may no longer hold a replica.
     */
    public data class Tombstone(
        val at: Duration,
        val fencedEpoch: Int = 0,
        val droppedKey: ReplicaKey? = null,
    )

    /** Whether exactly the process [member] is reachable, as far as this node knows. */
    public fun isLive(member: Member): Boolean =
        members[member.vm]?.let { it.isReachable && it.member == member } ?: false

    /** Whether this node may no longer own [request] in [epoch]. */
    public fun isFenced(request: RequestId, epoch: Int): Boolean =
        (tombstones[request]?.fencedEpoch ?: 0) >= epoch

    /** Whether this node may no longer hold a replica under [key]. */
    public fun isDropped(key: ReplicaKey): Boolean =
        tombstones[key.request]?.droppedKey?.let { it >= key } ?: false
}
