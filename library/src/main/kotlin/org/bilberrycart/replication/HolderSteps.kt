package org.bilberrycart.replication

import kotlin.time.Duration
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.membership.Member
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then
import org.bilberrycart.pipeline.withActions
import org.bilberrycart.takeover.TakeoverMessage

/** Maintains the replicas that this node holds for other nodes. */
internal object HolderSteps {
    fun store(
        state: ReplicationState,
        from: Member,
        message: ReplicationMessage.Store,
        now: Duration,
    ): ReplicationStep {
        val key = message.key
        val known = state.replicas[key.request]
        val owned = state.owned[key.request]
        val hasEnded = state.isDropped(key) || known != null && known.key > key
        return when {
            hasEnded || owned != null && owned.epoch >= key.epoch -> refuse(state, from, key)
            owned != null ->
                OwnerSteps.loseOwnership(state, owned, now).then { store(it, from, message, now) }
            known?.key == key && known.texts.size > message.texts.size ->
                acknowledge(state, from, known.copy(lastSeenAt = now))
            else -> acknowledge(state, from, replica(from, message, known, now))
        }
    }

    private fun replica(
        from: Member,
        message: ReplicationMessage.Store,
        known: Replica?,
        now: Duration,
    ): Replica {
        val key = message.key
        return Replica(
            key = key,
            owner = from,
            generation = message.record.toRequest(now),
            lineage = message.lineage,
            texts = message.texts.toPersistentList(),
            place = message.place,
            end = message.end,
            lastSeenAt = now,
            isYielded = known?.key == key && known.isYielded,
            claim = known?.claim.takeIf { known?.key == key },
        )
    }

    fun append(
        state: ReplicationState,
        from: Member,
        message: ReplicationMessage.Append,
        now: Duration,
    ): ReplicationStep {
        val key = message.key
        val known = state.replicas[key.request]
        return when {
            state.isDropped(key) || known != null && known.key > key -> refuse(state, from, key)
            known == null || known.key < key ->
                state.withActions(sendAction(from, ReplicationMessage.Missing(key)))
            else -> acknowledge(state, from, extend(known, message, now))
        }
    }

    /** Adds the tokens of [message] that the replica lacks, unless there is a gap before them. */
    private fun extend(
        replica: Replica,
        message: ReplicationMessage.Append,
        now: Duration,
    ): Replica {
        val size = replica.texts.size
        val updated = replica.copy(lastSeenAt = now, place = message.place ?: replica.place)
        if (message.from > size) return updated
        val texts = replica.texts.addAll(message.texts.drop(size - message.from))
        val isWhole = message.from + message.texts.size >= texts.size
        return updated.copy(texts = texts, end = replica.end ?: message.end.takeIf { isWhole })
    }

    private fun acknowledge(state: ReplicationState, to: Member, replica: Replica) = Step(
        state.copy(replicas = state.replicas.put(replica.key.request, replica)),
        persistentListOf(
            sendAction(
                to,
                ReplicationMessage.Acknowledge(
                    replica.key,
                    replica.texts.size,
                    hasEnd = replica.end != null,
                ),
            ),
        ),
    )

    /** Tells the owner that [key] has ended: its replica was dropped, or a newer key exists. */
    private fun refuse(state: ReplicationState, to: Member, key: ReplicaKey): ReplicationStep {
        val wasDropped = state.tombstones[key.request]?.droppedKey == key
        val answer = if (wasDropped) {
            ReplicationMessage.Dropped(key)
        } else {
            ReplicationMessage.Fence(key)
        }
        return state.withActions(sendAction(to, answer))
    }

    /**
     * Drops a replica at the request of its owner, unless a claim to it is pending or granted.
     *
     * A holder that does not know [key] may have granted the generation to another node under it,
     * so it does not answer, and the owner asks the table.
     */
    fun drop(
        state: ReplicationState,
        from: Member,
        key: ReplicaKey,
        now: Duration,
    ): ReplicationStep {
        val known = state.replicas[key.request]
        val dropped = sendAction(from, ReplicationMessage.Dropped(key))
        return when {
            known != null && known.key > key || state.isDropped(key) -> refuse(state, from, key)
            known?.key == key && (known.claim != null || known.isYielded) -> Step(state)
            known?.key == key -> Step(discardReplica(state, key, now), persistentListOf(dropped))
            else -> Step(state)
        }
    }

    /** Returns a claim as undecided when the table does not answer; the claimant asks again. */
    fun decisionFailed(state: ReplicationState, key: ReplicaKey): ReplicationStep {
        val replica = state.replicas[key.request]
        val claim = replica?.claim
        if (replica?.key != key || claim == null || !claim.isDeciding) return Step(state)
        val next = replica.copy(claim = null)
        return Step(
            state.copy(replicas = state.replicas.put(key.request, next)),
            persistentListOf(
                ReplicationAction.Answer(
                    claim.claimant,
                    TakeoverMessage.Undecided(key.request, claim.number),
                ),
            ),
        )
    }
}
