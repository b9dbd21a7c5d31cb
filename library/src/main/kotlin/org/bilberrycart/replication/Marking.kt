package org.bilberrycart.replication

import kotlin.time.Duration
import org.bilberrycart.membership.Member
import org.bilberrycart.model.RequestId

/** Remembers that this node may not own [request] in [epoch] or before. */
internal fun fence(
    state: ReplicationState,
    request: RequestId,
    epoch: Int,
    now: Duration,
): ReplicationState {
    val marks = state.marks[request] ?: ReplicationState.Marks(now)
    val next = marks.copy(at = now, fencedEpoch = maxOf(marks.fencedEpoch, epoch))
    return state.copy(marks = state.marks.put(request, next))
}

/** Removes the replica of [key] and remembers that this node may not hold it again. */
internal fun void(state: ReplicationState, key: ReplicaKey, now: Duration): ReplicationState {
    val marks = state.marks[key.request] ?: ReplicationState.Marks(now)
    val last = marks.droppedKey?.takeIf { it > key } ?: key
    return state.copy(
        replicas = state.replicas.remove(key.request),
        marks = state.marks.put(key.request, marks.copy(at = now, droppedKey = last)),
    )
}

/** Returns the action that sends one [message] to [to]. */
internal fun reply(to: Member, message: ReplicationMessage): ReplicationAction =
    ReplicationAction.Send(to, listOf(message))
