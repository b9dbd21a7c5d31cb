package org.bilberrycart.replication

import kotlin.time.Duration
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.ResultCode
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then
import org.bilberrycart.pipeline.withActions
import org.bilberrycart.replication.OwnedGeneration.HolderState

/** Applies all time limits of a shard. */
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
        val tombstones = state.tombstones.filterValues {
            now - it.at > settings.tombstoneRetention
        }.keys
        val ended = state.owned.values.filter {
            it.isEndReleased && now - it.lastProgressAt > settings.endedRetention
        }
        val stale = state.replicas.values.filter { isStale(it, settings, now) }
        val start = state.copy(
            owned = ended.fold(state.owned) { map, owned -> map.remove(owned.generation.id) },
            tombstones = tombstones.fold(state.tombstones) { map, id -> map.remove(id) },
        )
        return stale.fold(start) { next, replica -> discardReplica(next, replica.key, now) }
    }

    private fun isStale(replica: Replica, settings: ReplicationSettings, now: Duration): Boolean {
        val limit = if (replica.end == null) settings.orphanRetention else settings.endedRetention
        return replica.claim == null && now - replica.lastSeenAt > limit
    }

    private fun sweepOwned(
        state: ReplicationState,
        owned: OwnedGeneration,
        now: Duration,
    ): ReplicationStep = when (val holder = owned.holder) {
        is HolderState.Active -> sweepActive(state, owned, holder, now)
        is HolderState.Retiring -> sweepRetiring(state, owned, holder, now)
        is HolderState.Deciding -> when {
            now - holder.askedAt <= state.settings.decisionRetryDelay -> Step(state)
            else -> HolderSelection.askTable(state, owned, holder.copy(askedAt = now))
        }
        HolderState.None -> sweepWithoutHolder(state, owned, now)
    }

    private fun sweepActive(
        state: ReplicationState,
        owned: OwnedGeneration,
        holder: HolderState.Active,
        now: Duration,
    ): ReplicationStep {
        val settings = state.settings
        return when {
            !owned.hasUnacked -> Step(state)
            now - owned.lastProgressAt > settings.ackTimeout ->
                switchFromSilentHolder(state, owned, holder, now)
            now - owned.sentAt > settings.retransmitDelay -> resend(state, owned, now)
            else -> Step(state)
        }
    }

    /** Replaces a silent holder or, if it has to stay, sends again to it up to a time limit. */
    private fun switchFromSilentHolder(
        state: ReplicationState,
        owned: OwnedGeneration,
        holder: HolderState.Active,
        now: Duration,
    ): ReplicationStep =
        HolderSelection.switchHolder(state, owned, holder.member, now).then { next ->
            val current = next.owned[owned.generation.id]
            if (current?.holder is HolderState.Active) {
                resend(next, current, now).then { expireHold(it, current, now) }
            } else {
                Step(next)
            }
        }

    private fun resend(
        state: ReplicationState,
        owned: OwnedGeneration,
        now: Duration,
    ): ReplicationStep {
        if (now - owned.sentAt <= state.settings.retransmitDelay) return Step(state)
        val again = owned.copy(
            isStoreSent = owned.isStoreAcked,
            sent = owned.acked,
            isPlaceSent = false,
        )
        return OwnerSteps.updateAndFlush(state, again, now)
    }

    private fun sweepRetiring(
        state: ReplicationState,
        owned: OwnedGeneration,
        holder: HolderState.Retiring,
        now: Duration,
    ): ReplicationStep = when {
        now - holder.since > state.settings.ackTimeout ->
            HolderSelection.switchHolder(state, owned, holder.member, now)
        now - owned.sentAt > state.settings.retransmitDelay -> Step(
            state.copy(owned = state.owned.put(owned.generation.id, owned.copy(sentAt = now))),
            persistentListOf(sendAction(holder.member, ReplicationMessage.Drop(owned.key))),
        )
        else -> Step(state)
    }

    private fun sweepWithoutHolder(
        state: ReplicationState,
        owned: OwnedGeneration,
        now: Duration,
    ): ReplicationStep {
        val isWaiting = owned.end == null && now - owned.lastProgressAt > state.settings.ackTimeout
        if (!isWaiting) return Step(state)
        return HolderSelection.assignHolder(state, owned, now).then { next ->
            val current = next.owned.getValue(owned.generation.id)
            if (current.holder == HolderState.None) expireHold(next, current, now) else Step(next)
        }
    }

    /** Ends a generation that needs a replica and has had no answering holder for too long. */
    private fun expireHold(
        state: ReplicationState,
        owned: OwnedGeneration,
        now: Duration,
    ): ReplicationStep {
        val policy = state.settings.policyOf(owned.generation.service)
        val isOver = policy is ReplicationPolicy.Required &&
            !owned.isEndReleased &&
            now - owned.lastProgressAt > policy.holdLimit
        if (!isOver) return Step(state)
        val id = owned.generation.id
        val end = AnswerPart.Failed(ResultCode.NO_REPLICA)
        val next = state.copy(
            owned = state.owned.put(id, owned.copy(end = end, isEndReleased = true)),
        )
        return next.withActions(
            ReplicationAction.ReleaseEnd(id, owned.epoch, end),
            ReplicationAction.OwnershipLost(id, owned.epoch),
        )
    }

    private fun sweepClaim(
        state: ReplicationState,
        replica: Replica,
        now: Duration,
    ): ReplicationStep {
        val claim = replica.claim ?: return Step(state)
        val settings = state.settings
        val limit = if (claim.isDeciding) settings.decisionRetryDelay else settings.yieldTimeout
        if (now - claim.since <= limit) return Step(state)
        return ClaimSteps.askTable(state, replica.copy(claim = claim.copy(since = now)))
    }
}
