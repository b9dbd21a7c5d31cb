package org.bilberrycart.replication

import kotlin.time.Duration
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.membership.Member
import org.bilberrycart.membership.MemberRecord
import org.bilberrycart.membership.MemberStatus
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.VmId
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then
import org.bilberrycart.pipeline.withActions
import org.bilberrycart.replication.OwnedGeneration.HolderState

/** Selects the holder of an owned generation, and replaces one that is lost or leaves. */
internal object HolderSelection {
    /** Assigns the best available holder to [owned], which has none. */
    fun assignHolder(
        state: ReplicationState,
        owned: OwnedGeneration,
        now: Duration,
    ): ReplicationStep {
        val policy = state.settings.policyOf(owned.generation.service)
        val next = if (policy == ReplicationPolicy.Off) null else chooseHolder(state, owned, null)
        if (next == null) return TokenRelease.updateAndRelease(state, owned, now)
        return OwnerSteps.updateAndFlush(state, withHolder(owned, next, now), now)
    }

    private fun withHolder(owned: OwnedGeneration, holder: Member, now: Duration): OwnedGeneration =
        owned.copy(
            term = owned.term + 1,
            holder = HolderState.Active(holder),
            isStoreSent = false,
            isStoreAcked = false,
            sent = 0,
            acked = 0,
            isEndAcked = false,
            lastProgressAt = now,
        )

    /** Returns the best holder on a VM other than [excluded], preferably in another data centre. */
    private fun chooseHolder(
        state: ReplicationState,
        owned: OwnedGeneration,
        excluded: VmId?,
    ): Member? {
        val members = state.members.values
            .filter { it.status == MemberStatus.ALIVE && !it.leaving }
            .map { it.member }
            .filter { it.vm != excluded && it.vm != state.self.vm }
        val ranked = RendezvousRanking.rank(owned.generation.id, members)
        return ranked.firstOrNull { it.dataCentre != state.self.dataCentre }
            ?: ranked.firstOrNull()
    }

    fun memberChanged(
        state: ReplicationState,
        record: MemberRecord,
        now: Duration,
    ): ReplicationStep {
        val start: ReplicationStep = Step(state)
        return state.owned.keys.fold(start) { step, id ->
            step.then { next -> adaptToMember(next, next.owned.getValue(id), record, now) }
        }
    }

    private fun adaptToMember(
        state: ReplicationState,
        owned: OwnedGeneration,
        record: MemberRecord,
        now: Duration,
    ): ReplicationStep {
        val holder = (owned.holder as? HolderState.Active)?.member
        val isHolder = holder != null && holder.vm == record.member.vm
        val hasNoHolder = owned.holder == HolderState.None
        return when {
            owned.isEndReleased -> Step(state)
            isHolder && !state.isLive(checkNotNull(holder)) ->
                switchHolder(state, owned, holder, now)
            isHolder && record.leaving -> retireHolder(state, owned, record.member, now)
            hasNoHolder && record.status == MemberStatus.ALIVE -> assignHolder(state, owned, now)
            else -> Step(state)
        }
    }

    /** Replaces a holder in this data centre by one in another, after a generation was adopted. */
    fun preferRemoteHolder(state: ReplicationState, id: RequestId, now: Duration): ReplicationStep {
        val owned = state.owned.getValue(id)
        val holder = (owned.holder as? HolderState.Active)?.member ?: return Step(state)
        val best = chooseHolder(state, owned, holder.vm)
        val isBetter = holder.dataCentre == state.self.dataCentre &&
            best != null &&
            best.dataCentre != holder.dataCentre
        return if (isBetter) retireHolder(state, owned, holder, now) else Step(state)
    }

    /** Asks a holder that still answers to drop its replica. */
    private fun retireHolder(
        state: ReplicationState,
        owned: OwnedGeneration,
        holder: Member,
        now: Duration,
    ): ReplicationStep {
        if (chooseHolder(state, owned, holder.vm) == null) return Step(state)
        val next = owned.copy(holder = HolderState.Retiring(holder, now), sentAt = now)
        return Step(
            state.copy(owned = state.owned.put(owned.generation.id, next)),
            persistentListOf(sendAction(holder, ReplicationMessage.Drop(owned.key))),
        )
    }

    fun dropped(state: ReplicationState, key: ReplicaKey, now: Duration): ReplicationStep {
        val owned = state.owned[key.request]
        if (owned?.key != key || owned.holder is HolderState.Deciding) return Step(state)
        return startNextTerm(state, owned, null, now)
    }

    /** Has the table decide whether the owner may go on without a lost [holder]. */
    fun switchHolder(
        state: ReplicationState,
        owned: OwnedGeneration,
        holder: Member,
        now: Duration,
    ): ReplicationStep {
        val next = chooseHolder(state, owned, holder.vm)
        val policy = state.settings.policyOf(owned.generation.service)
        if (next == null && policy is ReplicationPolicy.Required) return Step(state)
        return askTable(state, owned, HolderState.Deciding(holder, next, now))
    }

    /** Requests the decision of the table for [owned], for the first time or again. */
    fun askTable(
        state: ReplicationState,
        owned: OwnedGeneration,
        deciding: HolderState.Deciding,
    ): ReplicationStep {
        val counters = state.counters.copy(decisions = state.counters.decisions + 1)
        val next = state.copy(
            owned = state.owned.put(owned.generation.id, owned.copy(holder = deciding)),
            counters = counters,
        )
        val verdict = Verdict.Switched(owned.term + 1, deciding.next?.vm)
        return next.withActions(ReplicationAction.Decide(owned.key, verdict))
    }

    fun decided(
        state: ReplicationState,
        event: ReplicationEvent.Decided,
        now: Duration,
    ): ReplicationStep {
        val owned = state.owned[event.key.request]
        if (owned?.key != event.key) return Step(state)
        val deciding = owned.holder as? HolderState.Deciding ?: return Step(state)
        return when (event.verdict) {
            is Verdict.Claimed -> OwnerSteps.loseOwnership(state, owned, now)
            is Verdict.Switched -> startNextTerm(state, owned, deciding.next, now)
        }
    }

    /** Starts the next term, with the holder [preferred] if it is still reachable. */
    private fun startNextTerm(
        state: ReplicationState,
        owned: OwnedGeneration,
        preferred: Member?,
        now: Duration,
    ): ReplicationStep {
        val counters = state.counters.copy(switches = state.counters.switches + 1)
        val counted = state.copy(counters = counters)
        val isReachable = preferred != null && state.isLive(preferred)
        return if (isReachable) {
            val moved = withHolder(owned, checkNotNull(preferred), now)
            OwnerSteps.updateAndFlush(counted, moved, now)
        } else {
            val withoutHolder =
                owned.copy(term = owned.term + 1, holder = HolderState.None, acked = 0)
            assignHolder(counted, withoutHolder.copy(lastProgressAt = now), now)
        }
    }
}
