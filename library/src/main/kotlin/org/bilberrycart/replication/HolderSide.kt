package org.bilberrycart.replication

import kotlin.time.Duration
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.membership.Member
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then
import org.bilberrycart.pipeline.withActions
import org.bilberrycart.takeover.TakeoverMessage

/** What a shard decides for the generations that this node holds for others. */
internal object HolderSide {
    fun store(
        state: ReplicationState,
        from: Member,
        message: ReplicationMessage.Store,
        now: Duration,
    ): ReplicationStep {
        val key = message.key
        val known = state.replicas[key.request]
        if (state.isDropped(key) ||
            known != null &&
            known.key > key
        ) {
            return refuse(state, from, key)
        }
        val owned = state.owned[key.request]
        if (owned != null && owned.epoch >= key.epoch) return refuse(state, from, key)
        if (owned != null) {
            return OwnerSide.disown(state, owned, now).then { store(it, from, message, now) }
        }
        if (known?.key == key && known.texts.size > message.texts.size) {
            return acknowledge(state, from, known.copy(touchedAt = now))
        }
        val replica = Replica(
            key = key,
            owner = from,
            generation = message.record.toRequest(now),
            lineage = message.lineage,
            texts = message.texts.toPersistentList(),
            place = message.place,
            end = message.end,
            touchedAt = now,
            isYielded = known?.key == key && known.isYielded,
            claim = known?.claim.takeIf { known?.key == key },
        )
        return acknowledge(state, from, replica)
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
                state.withActions(reply(from, ReplicationMessage.Missing(key)))
            else -> acknowledge(state, from, extend(known, message, now))
        }
    }

    /** Adds what [message] has beyond the replica, unless something in between is missing. */
    private fun extend(
        replica: Replica,
        message: ReplicationMessage.Append,
        now: Duration,
    ): Replica {
        val size = replica.texts.size
        val touched = replica.copy(touchedAt = now, place = message.place ?: replica.place)
        if (message.from > size) return touched
        val texts = replica.texts.addAll(message.texts.drop(size - message.from))
        val isWhole = message.from + message.texts.size >= texts.size
        return touched.copy(texts = texts, end = replica.end ?: message.end.takeIf { isWhole })
    }

    private fun acknowledge(state: ReplicationState, to: Member, replica: Replica) = Step(
        state.copy(replicas = state.replicas.put(replica.key.request, replica)),
        persistentListOf(
            reply(
                to,
                ReplicationMessage.Acknowledge(
                    replica.key,
                    replica.texts.size,
                    hasEnd = replica.end != null,
                ),
            ),
        ),
    )

    /** Tells the owner that [key] is over: given up by itself, or followed by another owner. */
    private fun refuse(state: ReplicationState, to: Member, key: ReplicaKey): ReplicationStep {
        val isGivenUp = state.marks[key.request]?.droppedKey == key
        val answer = if (isGivenUp) {
            ReplicationMessage.Dropped(
                key,
            )
        } else {
            ReplicationMessage.Fence(key)
        }
        return state.withActions(reply(to, answer))
    }

    /**
     * Gives a replica up for its owner, unless a claim of it is being decided.
     *
     * A holder that does not remember the agreement may have given the generation away under it, so
     * it says nothing and leaves the owner to the table.
     */
    fun drop(
        state: ReplicationState,
        from: Member,
        key: ReplicaKey,
        now: Duration,
    ): ReplicationStep {
        val known = state.replicas[key.request]
        val dropped = reply(from, ReplicationMessage.Dropped(key))
        return when {
            known != null && known.key > key || state.isDropped(key) -> refuse(state, from, key)
            known?.key == key && (known.claim != null || known.isYielded) -> Step(state)
            known?.key == key -> Step(void(state, key, now), persistentListOf(dropped))
            else -> Step(state)
        }
    }

    /** Puts a claim off when the table does not answer; the claimant asks again. */
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
