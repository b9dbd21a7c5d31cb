package org.bilberrycart.replication

import kotlin.time.Duration
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.ResultCode
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then
import org.bilberrycart.pipeline.withActions
import org.bilberrycart.replication.Owned.HolderState

/** Checks all time limits of a shard. */
internal object Sweep {
    fun run(state: ReplicationState, now: Duration): ReplicationStep {
        val start: ReplicationStep = Step(expire(state, now))
        val owned = state.owned.keys.fold(start) { step, id ->
            step.then { next ->
                next.owned[id]?.let { sweepOwned(next, it, now) } ?: Step(next)
            }
        }
        return state.replicas.keys.fold(owned) { step, id ->
            step.then { next ->
                next.replicas[id]?.let { sweepClaim(next, it, now) } ?: Step(next)
            }
        }
    }

    private fun expire(state: ReplicationState, now: Duration): ReplicationState {
        val settings = state.settings
        val marks = state.marks.filterValues { now - it.at > settings.markRetention }.keys
        val ended = state.owned.values.filter {
            it.isEndReleased && now - it.progressAt > settings.grace
        }
        val stale = state.replicas.values.filter { isStale(it, settings, now) }
        val start = state.copy(
            owned = ended.fold(state.owned) { map, owned -> map.remove(owned.generation.id) },
            marks = marks.fold(state.marks) { map, id -> map.remove(id) },
        )
        return stale.fold(start) { next, replica -> void(next, replica.key, now) }
    }

    private fun isStale(replica: Replica, settings: ReplicationSettings, now: Duration): Boolean {
        val limit = if (replica.end == null) settings.orphanRetention else settings.grace
        return replica.claim == null && now - replica.touchedAt > limit
    }

    private fun sweepOwned(state: ReplicationState, owned: Owned, now: Duration): ReplicationStep =
        when (val holder = owned.holder) {
            is HolderState.Active -> sweepActive(state, owned, holder, now)
            is HolderState.Retiring -> sweepRetiring(state, owned, holder, now)
            is HolderState.Deciding -> when {
                now - holder.askedAt <= state.settings.decideRetry -> Step(state)
                else -> HolderChoice.ask(state, owned, holder.copy(askedAt = now))
            }
            HolderState.None -> sweepAlone(state, owned, now)
        }

    private fun sweepActive(
        state: ReplicationState,
        owned: Owned,
        holder: HolderState.Active,
        now: Duration,
    ): ReplicationStep {
        val settings = state.settings
        return when {
            !owned.isOutstanding -> Step(state)
            now - owned.progressAt > settings.ackTimeout ->
                leaveSilent(state, owned, holder, now)
            now - owned.sentAt > settings.retransmit -> resend(state, owned, now)
            else -> Step(state)
        }
    }

    /** Moves on from a silent holder; if that cannot be, goes on asking it for a while. */
    private fun leaveSilent(
        state: ReplicationState,
        owned: Owned,
        holder: HolderState.Active,
        now: Duration,
    ): ReplicationStep = HolderChoice.moveOn(state, owned, holder.member, now).then { next ->
        val current = next.owned[owned.generation.id]
        if (current?.holder is HolderState.Active) {
            resend(next, current, now).then { endHeld(it, current, now) }
        } else {
            Step(next)
        }
    }

    private fun resend(state: ReplicationState, owned: Owned, now: Duration): ReplicationStep {
        if (now - owned.sentAt <= state.settings.retransmit) return Step(state)
        val again = owned.copy(isStored = owned.acked > 0, sent = owned.acked, isPlaceSent = false)
        return OwnerSide.changed(state, again, now)
    }

    private fun sweepRetiring(
        state: ReplicationState,
        owned: Owned,
        holder: HolderState.Retiring,
        now: Duration,
    ): ReplicationStep = when {
        now - holder.since > state.settings.ackTimeout ->
            HolderChoice.moveOn(state, owned, holder.member, now)
        now - owned.sentAt > state.settings.retransmit -> Step(
            state.copy(owned = state.owned.put(owned.generation.id, owned.copy(sentAt = now))),
            persistentListOf(reply(holder.member, ReplicationMessage.Drop(owned.key))),
        )
        else -> Step(state)
    }

    private fun sweepAlone(state: ReplicationState, owned: Owned, now: Duration): ReplicationStep {
        val isWaiting = owned.end == null && now - owned.progressAt > state.settings.ackTimeout
        if (!isWaiting) return Step(state)
        return HolderChoice.place(state, owned, now).then { next ->
            val current = next.owned.getValue(owned.generation.id)
            if (current.holder == HolderState.None) endHeld(next, current, now) else Step(next)
        }
    }

    /** Ends a generation that must not be released alone and found no holder for too long. */
    private fun endHeld(state: ReplicationState, owned: Owned, now: Duration): ReplicationStep {
        val policy = state.settings.policyOf(owned.generation.service)
        val isOver = policy is ReplicationPolicy.Required &&
            !owned.isEndReleased &&
            now - owned.progressAt > policy.holdLimit
        if (!isOver) return Step(state)
        val id = owned.generation.id
        val end = AnswerPart.Failed(ResultCode.NO_REPLICA)
        val next = state.copy(
            owned = state.owned.put(id, owned.copy(end = end, isEndReleased = true)),
        )
        return next.withActions(
            ReplicationAction.ReleaseEnd(id, owned.epoch, end),
            ReplicationAction.Disown(id, owned.epoch),
        )
    }

    private fun sweepClaim(
        state: ReplicationState,
        replica: Replica,
        now: Duration,
    ): ReplicationStep {
        val claim = replica.claim ?: return Step(state)
        val settings = state.settings
        val limit = if (claim.isDeciding) settings.decideRetry else settings.yieldTimeout
        if (now - claim.since <= limit) return Step(state)
        return ClaimSide.askTable(state, replica.copy(claim = claim.copy(since = now)))
    }
}
