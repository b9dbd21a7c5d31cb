package org.bilberrycart.replication

import kotlin.time.Duration
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.membership.Member
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.ResultCode
import org.bilberrycart.model.Token
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.invariant
import org.bilberrycart.pipeline.then
import org.bilberrycart.pipeline.withActions
import org.bilberrycart.replication.OwnedGeneration.HolderState

/** Maintains the generations that this node owns. */
internal object OwnerSteps {
    fun began(
        state: ReplicationState,
        event: ReplicationEvent.Began,
        now: Duration,
    ): ReplicationStep {
        val id = event.generation.id
        val known = state.owned[id]
        return when {
            known?.epoch == event.epoch -> Step(state)
            state.isFenced(id, event.epoch) || known != null && known.epoch > event.epoch ->
                state.withActions(ReplicationAction.OwnershipLost(id, event.epoch))
            else -> HolderSelection.assignHolder(
                state,
                OwnedGeneration(event.generation, event.epoch, lastProgressAt = now),
                now,
            )
        }
    }

    fun appended(
        state: ReplicationState,
        event: ReplicationEvent.Appended,
        now: Duration,
    ): ReplicationStep {
        val owned = state.owned[event.request]
        if (owned == null || owned.epoch != event.epoch || owned.isHandingOver) return Step(state)
        invariant("replication_order", event.token.index == owned.tokens.size) {
            "token ${event.token.index} of ${event.request} after ${owned.tokens.size} tokens"
        }
        val next = owned.copy(
            tokens = owned.tokens.add(event.token),
            lastProgressAt = if (owned.hasUnacked) owned.lastProgressAt else now,
        )
        return updateAndFlush(state, next, now)
    }

    fun completed(
        state: ReplicationState,
        event: ReplicationEvent.Completed,
        now: Duration,
    ): ReplicationStep {
        val owned = state.owned[event.request]
        if (owned == null || owned.epoch != event.epoch) return Step(state)
        if (owned.end != null || owned.isHandingOver) return Step(state)
        val since = if (owned.hasUnacked) owned.lastProgressAt else now
        return updateAndFlush(state, owned.copy(end = event.end, lastProgressAt = since), now)
    }

    fun placed(state: ReplicationState, event: ReplicationEvent.Placed): ReplicationStep {
        val owned = state.owned[event.request] ?: return Step(state)
        val next = owned.copy(place = event.place, isPlaceSent = false)
        return Step(
            state.copy(
                owned = state.owned.put(event.request, next),
                unsent = state.unsent.add(event.request),
            ),
        )
    }

    /** Stores [owned], which has something new to send, and sends it if a batch is due. */
    fun updateAndFlush(
        state: ReplicationState,
        owned: OwnedGeneration,
        now: Duration,
    ): ReplicationStep {
        val id = owned.generation.id
        val next = state.copy(unsent = state.unsent.add(id))
        val isFull = owned.tokens.size - owned.sent >= state.settings.batchTokens
        return TokenRelease.updateAndRelease(next, owned, now).then {
            if (isFull) flushNow(it, now) else flush(it, now)
        }
    }

    /** Sends what is unsent, unless the last batch was sent less than the flush delay ago. */
    fun flush(state: ReplicationState, now: Duration): ReplicationStep =
        if (state.unsent.isEmpty() || now < state.nextFlush) Step(state) else flushNow(state, now)

    private fun flushNow(state: ReplicationState, now: Duration): ReplicationStep {
        val start = state.copy(
            unsent = state.unsent.clear(),
            nextFlush = now + state.settings.flushDelay,
        )
        val first: ReplicationStep = Step(start)
        return state.unsent.fold(first) { step, id ->
            step.then { next ->
                val owned = next.owned[id]
                val holder = owned?.holder as? HolderState.Active
                if (owned == null || holder == null) Step(next) else send(next, owned, holder, now)
            }
        }
    }

    private fun send(
        state: ReplicationState,
        owned: OwnedGeneration,
        holder: HolderState.Active,
        now: Duration,
    ): ReplicationStep {
        val next = owned.copy(
            isStoreSent = true,
            isPlaceSent = true,
            sent = owned.tokens.size,
            sentAt = if (owned.isInFlight) owned.sentAt else now,
        )
        val message = if (owned.isStoreSent) append(owned) else store(owned, now)
        return Step(
            state.copy(owned = state.owned.put(owned.generation.id, next)),
            persistentListOf(ReplicationAction.Send(holder.member, listOf(message))),
        )
    }

    private fun append(owned: OwnedGeneration) = ReplicationMessage.Append(
        key = owned.key,
        from = owned.sent,
        texts = owned.tokens.subList(owned.sent, owned.tokens.size).map { it.text },
        place = owned.place.takeUnless { owned.isPlaceSent },
        end = owned.end?.let(ReplicaEnd::of),
    )

    private fun store(owned: OwnedGeneration, now: Duration) = ReplicationMessage.Store(
        key = owned.key,
        record = GenerationRecord.of(owned.generation, now),
        lineage = owned.lineage,
        texts = owned.tokens.map { it.text },
        place = owned.place,
        end = owned.end?.let(ReplicaEnd::of),
    )

    fun acknowledged(
        state: ReplicationState,
        message: ReplicationMessage.Acknowledge,
        now: Duration,
    ): ReplicationStep {
        val owned = state.owned[message.request]
        if (owned?.key != message.key || owned.holder !is HolderState.Active) return Step(state)
        val count = minOf(message.count, owned.tokens.size)
        val next = owned.copy(
            isStoreAcked = true,
            acked = maxOf(owned.acked, count),
            isEndAcked = owned.isEndAcked || message.hasEnd,
        )
        val hasProgress = next != owned || !owned.hasUnacked
        val timed = if (hasProgress) next.copy(lastProgressAt = now, sentAt = now) else next
        return TokenRelease.updateAndRelease(state, timed, now)
    }

    /** Sends the whole generation again, unless the holder had it and may have granted it away. */
    fun missing(state: ReplicationState, key: ReplicaKey, now: Duration): ReplicationStep {
        val owned = state.owned[key.request]
        val holder = owned?.holder as? HolderState.Active
        if (owned?.key != key || holder == null) return Step(state)
        val isLost = owned.isStoreAcked || now - owned.lastProgressAt > state.settings.ackTimeout
        if (isLost) return HolderSelection.switchHolder(state, owned, holder.member, now)
        val next = owned.copy(isStoreSent = false, sent = 0, acked = 0, isEndAcked = false)
        return updateAndFlush(state, next, now)
    }

    fun fenced(state: ReplicationState, key: ReplicaKey, now: Duration): ReplicationStep {
        val owned = state.owned[key.request]
        return if (owned?.key == key) loseOwnership(state, owned, now) else Step(state)
    }

    /**
     * Answers a holder whose replica another node claims.
     *
     * An owner that is replacing the holder, or that does not know [key], does not answer, so that
     * the table decides.
     */
    fun yieldTo(
        state: ReplicationState,
        from: Member,
        key: ReplicaKey,
        now: Duration,
    ): ReplicationStep {
        val owned = state.owned[key.request]
        val isNewer = owned != null && owned.key > key
        return when {
            isNewer -> state.withActions(sendAction(from, ReplicationMessage.Superseded(key)))
            owned?.key == key && owned.holder is HolderState.Active ->
                loseOwnership(state, owned, now).then {
                    it.withActions(sendAction(from, ReplicationMessage.Yielded(key)))
                }
            else -> Step(state)
        }
    }

    /** Takes over a generation that [from] granted to this node; [from] remains its holder. */
    fun granted(
        state: ReplicationState,
        from: Member,
        message: ReplicationMessage.Granted,
        now: Duration,
    ): ReplicationStep {
        val id = message.request
        val isOld = (state.owned[id]?.epoch ?: 0) >= message.key.epoch
        if (isOld || state.isFenced(id, message.key.epoch)) return Step(state)
        val size = message.texts.size
        val owned = OwnedGeneration(
            generation = message.record.toRequest(now),
            epoch = message.key.epoch,
            lineage = message.lineage,
            tokens = message.texts.mapIndexed(::Token).toPersistentList(),
            place = message.place,
            term = message.key.term,
            holder = HolderState.Active(from),
            isStoreSent = true,
            isStoreAcked = true,
            isPlaceSent = true,
            sent = size,
            acked = size,
            released = size,
            lastProgressAt = now,
        )
        return adopt(state, owned, message.claim, now).then {
            HolderSelection.preferRemoteHolder(it, id, now)
        }
    }

    /** Makes this node the owner of [owned] and reports that to the takeover duty. */
    fun adopt(
        state: ReplicationState,
        owned: OwnedGeneration,
        claim: Long,
        now: Duration,
    ): ReplicationStep {
        val counters = state.counters.copy(adoptions = state.counters.adoptions + 1)
        val adopted = ReplicationAction.Adopted(
            claim = claim,
            generation = owned.generation,
            epoch = owned.epoch,
            tokens = owned.tokens,
            lineage = owned.lineage,
            place = owned.place,
        )
        return Step(state.copy(counters = counters), persistentListOf<ReplicationAction>(adopted))
            .then {
                if (owned.holder == HolderState.None) {
                    HolderSelection.assignHolder(it, owned, now)
                } else {
                    TokenRelease.updateAndRelease(it, owned, now)
                }
            }
    }

    fun handOver(state: ReplicationState, now: Duration): ReplicationStep {
        val start: ReplicationStep = Step(state)
        return state.owned.values.filter { it.end == null }.fold(start) { step, owned ->
            step.then { TokenRelease.updateAndRelease(it, owned.copy(isHandingOver = true), now) }
        }
    }

    /** Ends the ownership of [owned]: this node releases nothing more of it. */
    fun loseOwnership(
        state: ReplicationState,
        owned: OwnedGeneration,
        now: Duration,
    ): ReplicationStep {
        val id = owned.generation.id
        val next = fence(state, id, owned.epoch, now)
        val counters = next.counters.copy(fenced = next.counters.fenced + 1)
        val end = AnswerPart.Failed(ResultCode.FENCED)
        return Step(
            next.copy(owned = next.owned.remove(id), counters = counters),
            listOfNotNull(
                ReplicationAction.OwnershipLost(id, owned.epoch),
                TokenRelease.endOf(owned, end).takeUnless { owned.isEndReleased },
            ).toPersistentList(),
        )
    }
}
