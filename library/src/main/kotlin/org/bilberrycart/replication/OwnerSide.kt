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
import org.bilberrycart.replication.Owned.HolderState

/** What a shard decides for the generations that this node owns. */
internal object OwnerSide {
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
                state.withActions(ReplicationAction.Disown(id, event.epoch))
            else -> HolderChoice.place(
                state,
                Owned(event.generation, event.epoch, progressAt = now),
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
        if (owned == null || owned.epoch != event.epoch || owned.handingOver) return Step(state)
        invariant("replication_order", event.token.index == owned.tokens.size) {
            "token ${event.token.index} of ${event.request} after ${owned.tokens.size} tokens"
        }
        val next = owned.copy(
            tokens = owned.tokens.add(event.token),
            progressAt = if (owned.isOutstanding) owned.progressAt else now,
        )
        return changed(state, next, now)
    }

    fun completed(
        state: ReplicationState,
        event: ReplicationEvent.Completed,
        now: Duration,
    ): ReplicationStep {
        val owned = state.owned[event.request]
        if (owned == null || owned.epoch != event.epoch) return Step(state)
        if (owned.end != null || owned.handingOver) return Step(state)
        val since = if (owned.isOutstanding) owned.progressAt else now
        return changed(state, owned.copy(end = event.end, progressAt = since), now)
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

    /** Puts [owned], which has something new to send, back and sends it if the time has come. */
    fun changed(state: ReplicationState, owned: Owned, now: Duration): ReplicationStep {
        val id = owned.generation.id
        val next = state.copy(unsent = state.unsent.add(id))
        val isFull = owned.tokens.size - owned.sent >= state.settings.batchTokens
        return Releasing.settle(next, owned, now).then {
            if (isFull) flushNow(it, now) else flush(it, now)
        }
    }

    /** Sends what waits, unless the last batch went out less than the flush delay ago. */
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
        owned: Owned,
        holder: HolderState.Active,
        now: Duration,
    ): ReplicationStep {
        val next = owned.copy(
            isStored = true,
            isPlaceSent = true,
            sent = owned.tokens.size,
            sentAt = if (owned.isInFlight) owned.sentAt else now,
        )
        val message = if (owned.isStored) append(owned) else store(owned, now)
        return Step(
            state.copy(owned = state.owned.put(owned.generation.id, next)),
            persistentListOf(ReplicationAction.Send(holder.member, listOf(message))),
        )
    }

    private fun append(owned: Owned) = ReplicationMessage.Append(
        key = owned.key,
        from = owned.sent,
        texts = owned.tokens.subList(owned.sent, owned.tokens.size).map { it.text },
        place = owned.place.takeUnless { owned.isPlaceSent },
        end = owned.end?.let(ReplicaEnd::of),
    )

    private fun store(owned: Owned, now: Duration) = ReplicationMessage.Store(
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
            acked = maxOf(owned.acked, count),
            isEndAcked = owned.isEndAcked || message.hasEnd,
        )
        val hasProgress = next != owned || !owned.isOutstanding
        val timed = if (hasProgress) next.copy(progressAt = now, sentAt = now) else next
        return Releasing.settle(state, timed, now)
    }

    /** Sends the whole again, unless the holder had it once and may have given it away. */
    fun missing(state: ReplicationState, key: ReplicaKey, now: Duration): ReplicationStep {
        val owned = state.owned[key.request]
        val holder = owned?.holder as? HolderState.Active
        if (owned?.key != key || holder == null) return Step(state)
        val isLost = owned.acked > 0 || now - owned.progressAt > state.settings.ackTimeout
        if (isLost) return HolderChoice.moveOn(state, owned, holder.member, now)
        val next = owned.copy(isStored = false, sent = 0, acked = 0, isEndAcked = false)
        return changed(state, next, now)
    }

    fun fenced(state: ReplicationState, key: ReplicaKey, now: Duration): ReplicationStep {
        val owned = state.owned[key.request]
        return if (owned?.key == key) disown(state, owned, now) else Step(state)
    }

    /**
     * Answers a holder whose replica another node claims.
     *
     * An owner that asked the table itself, or that remembers nothing, leaves it to the table.
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
            isNewer -> state.withActions(reply(from, ReplicationMessage.Superseded(key)))
            owned?.key == key && owned.holder is HolderState.Active ->
                disown(state, owned, now).then {
                    it.withActions(reply(from, ReplicationMessage.Yielded(key)))
                }
            else -> Step(state)
        }
    }

    /** Takes over what a holder gave to this node; the holder goes on as such. */
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
        val owned = Owned(
            generation = message.record.toRequest(now),
            epoch = message.key.epoch,
            lineage = message.lineage,
            tokens = message.texts.mapIndexed(::Token).toPersistentList(),
            place = message.place,
            term = message.key.term,
            holder = HolderState.Active(from),
            isStored = true,
            isPlaceSent = true,
            sent = size,
            acked = size,
            released = size,
            progressAt = now,
        )
        return adopt(state, owned, message.claim, now).then { HolderChoice.improve(it, id, now) }
    }

    /** Makes this node the owner and tells the takeover duty. */
    fun adopt(state: ReplicationState, owned: Owned, claim: Long, now: Duration): ReplicationStep {
        val counts = state.counts.copy(adoptions = state.counts.adoptions + 1)
        val adopted = ReplicationAction.Adopted(
            claim = claim,
            generation = owned.generation,
            epoch = owned.epoch,
            tokens = owned.tokens,
            lineage = owned.lineage,
            place = owned.place,
        )
        return Step(state.copy(counts = counts), persistentListOf<ReplicationAction>(adopted))
            .then {
                if (owned.holder == HolderState.None) {
                    HolderChoice.place(it, owned, now)
                } else {
                    Releasing.settle(it, owned, now)
                }
            }
    }

    fun handOver(state: ReplicationState, now: Duration): ReplicationStep {
        val start: ReplicationStep = Step(state)
        return state.owned.values.filter { it.end == null }.fold(start) { step, owned ->
            step.then { Releasing.settle(it, owned.copy(handingOver = true), now) }
        }
    }

    /** Ends the ownership: nothing more is released here. */
    fun disown(state: ReplicationState, owned: Owned, now: Duration): ReplicationStep {
        val id = owned.generation.id
        val next = fence(state, id, owned.epoch, now)
        val counts = next.counts.copy(fenced = next.counts.fenced + 1)
        val end = AnswerPart.Failed(ResultCode.FENCED)
        return Step(
            next.copy(owned = next.owned.remove(id), counts = counts),
            listOfNotNull(
                ReplicationAction.Disown(id, owned.epoch),
                Releasing.endOf(owned, end).takeUnless { owned.isEndReleased },
            ).toPersistentList(),
        )
    }
}
