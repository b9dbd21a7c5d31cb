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
import org.bilberrycart.replication.Owned.HolderState

/** How an owner chooses its holder and moves on from one that is lost or leaves. */
internal object HolderChoice {
    /** Gives [owned], which has no holder, the best one there is. */
    fun place(state: ReplicationState, owned: Owned, now: Duration): ReplicationStep {
        val policy = state.settings.policyOf(owned.generation.service)
        val next = if (policy == ReplicationPolicy.Off) null else choose(state, owned, null)
        if (next == null) return Releasing.settle(state, owned, now)
        return OwnerSide.changed(state, withHolder(owned, next, now), now)
    }

    private fun withHolder(owned: Owned, holder: Member, now: Duration): Owned = owned.copy(
        term = owned.term + 1,
        holder = HolderState.Active(holder),
        isStored = false,
        sent = 0,
        acked = 0,
        isEndAcked = false,
        progressAt = now,
    )

    /** Returns the best holder other than [not]: in another data centre where there is one. */
    private fun choose(state: ReplicationState, owned: Owned, not: VmId?): Member? {
        val members = state.members.values
            .filter { it.status == MemberStatus.ALIVE && !it.leaving }
            .map { it.member }
            .filter { it.vm != not && it.vm != state.self.vm }
        val ranked = Rendezvous.rank(owned.generation.id, members)
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
            step.then { next -> adapt(next, next.owned.getValue(id), record, now) }
        }
    }

    private fun adapt(
        state: ReplicationState,
        owned: Owned,
        record: MemberRecord,
        now: Duration,
    ): ReplicationStep {
        val holder = (owned.holder as? HolderState.Active)?.member
        val isHolder = holder != null && holder.vm == record.member.vm
        val isAlone = owned.holder == HolderState.None
        return when {
            owned.isEndReleased -> Step(state)
            isHolder && !state.isLive(checkNotNull(holder)) -> moveOn(state, owned, holder, now)
            isHolder && record.leaving -> retire(state, owned, record.member, now)
            isAlone && record.status == MemberStatus.ALIVE -> place(state, owned, now)
            else -> Step(state)
        }
    }

    /** Moves a generation that was just taken over to a holder in another data centre. */
    fun improve(state: ReplicationState, id: RequestId, now: Duration): ReplicationStep {
        val owned = state.owned.getValue(id)
        val holder = (owned.holder as? HolderState.Active)?.member ?: return Step(state)
        val best = choose(state, owned, holder.vm)
        val isBetter = holder.dataCentre == state.self.dataCentre &&
            best != null &&
            best.dataCentre != holder.dataCentre
        return if (isBetter) retire(state, owned, holder, now) else Step(state)
    }

    /** Asks a holder that still answers to give its replica up. */
    private fun retire(
        state: ReplicationState,
        owned: Owned,
        holder: Member,
        now: Duration,
    ): ReplicationStep {
        if (choose(state, owned, holder.vm) == null) return Step(state)
        val next = owned.copy(holder = HolderState.Retiring(holder, now), sentAt = now)
        return Step(
            state.copy(owned = state.owned.put(owned.generation.id, next)),
            persistentListOf(reply(holder, ReplicationMessage.Drop(owned.key))),
        )
    }

    fun dropped(state: ReplicationState, key: ReplicaKey, now: Duration): ReplicationStep {
        val owned = state.owned[key.request]
        if (owned?.key != key || owned.holder is HolderState.Deciding) return Step(state)
        return next(state, owned, null, now)
    }

    /** Lets the table decide whether the owner may go on without a lost [holder]. */
    fun moveOn(
        state: ReplicationState,
        owned: Owned,
        holder: Member,
        now: Duration,
    ): ReplicationStep {
        val next = choose(state, owned, holder.vm)
        val policy = state.settings.policyOf(owned.generation.service)
        if (next == null && policy is ReplicationPolicy.Required) return Step(state)
        return ask(state, owned, HolderState.Deciding(holder, next, now))
    }

    /** Asks the table once more for [owned], which waits for it. */
    fun ask(
        state: ReplicationState,
        owned: Owned,
        deciding: HolderState.Deciding,
    ): ReplicationStep {
        val counts = state.counts.copy(decisions = state.counts.decisions + 1)
        val next = state.copy(
            owned = state.owned.put(owned.generation.id, owned.copy(holder = deciding)),
            counts = counts,
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
            is Verdict.Claimed -> OwnerSide.disown(state, owned, now)
            is Verdict.Switched -> next(state, owned, deciding.next, now)
        }
    }

    /** Goes on in the next term, with [preferred] if it is still there. */
    private fun next(
        state: ReplicationState,
        owned: Owned,
        preferred: Member?,
        now: Duration,
    ): ReplicationStep {
        val counts = state.counts.copy(switches = state.counts.switches + 1)
        val counted = state.copy(counts = counts)
        val isThere = preferred != null && state.isLive(preferred)
        return if (isThere) {
            val moved = withHolder(owned, checkNotNull(preferred), now)
            OwnerSide.changed(counted, moved, now)
        } else {
            val alone = owned.copy(term = owned.term + 1, holder = HolderState.None, acked = 0)
            place(counted, alone.copy(progressAt = now), now)
        }
    }
}
