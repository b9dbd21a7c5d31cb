package org.bilberrycart.replication

import kotlin.time.Duration
import org.bilberrycart.membership.Member
import org.bilberrycart.model.RequestId

/** Records that this node may not own [request] in [epoch] or an earlier one. */
internal fun fence(
    state: ReplicationState,
    request: RequestId,
    epoch: Int,
    now: Duration,
): ReplicationState {
    val tombstone = state.tombstones[request] ?: ReplicationState.Tombstone(now)
    val next = tombstone.copy(at = now, fencedEpoch = maxOf(tombstone.fencedEpoch, epoch))
    return state.copy(tombstones = state.tombstones.put(request, next))
}

/** Removes the replica of [key] and records that this node may not hold it again. */
internal fun discardReplica(
    state: ReplicationState,
    key: ReplicaKey,
    now: Duration,
): ReplicationState {
    val tombstone = state.tombstones[key.request] ?: ReplicationState.Tombstone(now)
    val last = tombstone.droppedKey?.takeIf { it > key } ?: key
    return state.copy(
        replicas = state.replicas.remove(key.request),
        tombstones = state.tombstones.put(key.request, tombstone.copy(at = now, droppedKey = last)),
    )
}

/** Returns the action that sends one [message] to [to]. */
internal fun sendAction(to: Member, message: ReplicationMessage): ReplicationAction =
    ReplicationAction.Send(to, listOf(message))
