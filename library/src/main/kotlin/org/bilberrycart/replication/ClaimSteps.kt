package org.bilberrycart.replication

import kotlin.time.Duration
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.membership.Member
import org.bilberrycart.model.EventId
import org.bilberrycart.model.Lineage
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.ResultCode
import org.bilberrycart.model.Token
import org.bilberrycart.model.VmId
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.withActions
import org.bilberrycart.replication.OwnedGeneration.HolderState
import org.bilberrycart.takeover.TakeoverMessage

/** Handles the messages of a node that wants to take over a generation. */
internal object ClaimSteps {
    fun find(
        state: ReplicationState,
        from: Member,
        message: ReplicationMessage.Find,
    ): ReplicationStep {
        val id = message.request
        val key = state.owned[id]?.key ?: state.replicas[id]?.key
        val answer = when (key) {
            null -> TakeoverMessage.NotFound(id, message.claim)
            else -> TakeoverMessage.Found(key, message.claim)
        }
        return state.withActions(ReplicationAction.Answer(from, answer))
    }

    fun claim(
        state: ReplicationState,
        from: Member,
        message: ReplicationMessage.Claim,
        now: Duration,
    ): ReplicationStep {
        val id = message.request
        val owned = state.owned[id]
        val replica = state.replicas[id]
        return when {
            owned != null -> claimOwned(state, from, message, owned)
            replica != null -> claimReplica(state, from, message, replica, now)
            else -> answer(state, from, TakeoverMessage.NotFound(id, message.claim))
        }
    }

    private fun claimOwned(
        state: ReplicationState,
        from: Member,
        message: ReplicationMessage.Claim,
        owned: OwnedGeneration,
    ): ReplicationStep {
        val organisation = owned.generation.organisation
        val size = owned.tokens.size
        val refusal = refusal(message, organisation, owned.lineage, size)
        return when {
            refusal != null -> refuse(state, from, message, refusal)
            from.vm == state.self.vm -> answer(
                state,
                from,
                TakeoverMessage.Owned(message.request, message.claim, owned.lineage, size),
            )
            else -> answer(
                state,
                from,
                TakeoverMessage.Moved(message.request, message.claim, holderOf(owned)),
            )
        }
    }

    private fun holderOf(owned: OwnedGeneration): VmId? = when (val holder = owned.holder) {
        is HolderState.Active -> holder.member.vm
        is HolderState.Deciding -> holder.next?.vm
        is HolderState.Retiring, HolderState.None -> null
    }

    private fun claimReplica(
        state: ReplicationState,
        from: Member,
        message: ReplicationMessage.Claim,
        replica: Replica,
        now: Duration,
    ): ReplicationStep {
        val organisation = replica.generation.organisation
        val refusal = refusal(message, organisation, replica.lineage, replica.texts.size)
        val end = replica.end
        val pending = Replica.PendingClaim(from, message.claim, now)
        return when {
            refusal != ResultCode.NOT_FOUND && isReplicaBehind(replica, message.after) ->
                answer(state, from, TakeoverMessage.ReplicaBehind(message.request, message.claim))
            refusal != null -> refuse(state, from, message, refusal)
            end != null -> answer(state, from, wholeReplica(replica, end, message.claim, now))
            replica.owner == from && replica.grantedClaim == message.claim ->
                state.withActions(sendAction(from, grantOf(replica, message.claim, now)))
            replica.claim != null && replica.claim.claimant.vm != from.vm ->
                answer(state, from, TakeoverMessage.Undecided(message.request, message.claim))
            replica.claim != null -> put(
                state,
                replica.copy(claim = replica.claim.copy(number = message.claim)),
            )
            replica.isYielded -> grant(state, replica.copy(claim = pending), now)
            state.isLive(replica.owner) -> askOwner(
                state,
                replica,
                pending,
            )
            else -> askTable(state, replica.copy(claim = pending))
        }
    }

    /** Whether the caller has received more than this replica has, which is then out of date. */
    private fun isReplicaBehind(replica: Replica, after: EventId?): Boolean = after != null &&
        (
            after.epoch > replica.key.epoch ||
                after.epoch == replica.key.epoch &&
                after.index >= replica.texts.size
            )

    private fun refusal(
        message: ReplicationMessage.Claim,
        organisation: OrganisationId,
        lineage: Lineage,
        size: Int,
    ): ResultCode? = when {
        organisation != message.organisation -> ResultCode.NOT_FOUND
        message.after?.let {
            isOutsideLineage(it, lineage, size)
        } == true -> ResultCode.LINEAGE_MISMATCH
        else -> null
    }

    private fun isOutsideLineage(position: EventId, lineage: Lineage, size: Int): Boolean =
        position.index >= size || !lineage.contains(position.epoch, position.index)

    private fun askOwner(
        state: ReplicationState,
        replica: Replica,
        claim: Replica.PendingClaim,
    ): ReplicationStep = Step(
        state.copy(
            replicas = state.replicas.put(replica.key.request, replica.copy(claim = claim)),
        ),
        persistentListOf(sendAction(replica.owner, ReplicationMessage.Yield(replica.key))),
    )

    /** Has the table decide on the claim of [replica], whose owner does not answer. */
    fun askTable(state: ReplicationState, replica: Replica): ReplicationStep {
        val counters = state.counters.copy(decisions = state.counters.decisions + 1)
        val next = replica.copy(claim = replica.claim?.copy(isDeciding = true))
        return Step(
            put(state, next).state.copy(counters = counters),
            persistentListOf(
                ReplicationAction.Decide(replica.key, Verdict.Claimed(state.self.vm)),
            ),
        )
    }

    fun yielded(state: ReplicationState, key: ReplicaKey, now: Duration): ReplicationStep {
        val replica = state.replicas[key.request]
        if (replica?.key != key) return Step(state)
        return grant(state, replica.copy(isYielded = true), now)
    }

    fun decided(
        state: ReplicationState,
        event: ReplicationEvent.Decided,
        now: Duration,
    ): ReplicationStep {
        val replica = state.replicas[event.key.request]
        if (replica?.key != event.key) return Step(state)
        return when (val verdict = event.verdict) {
            is Verdict.Claimed -> grant(state, replica.copy(isYielded = true), now)
            is Verdict.Switched -> superseded(state, event.key, verdict.holder, now)
        }
    }

    /** Discards a replica whose owner went on without it, and tells the claimant, if any. */
    fun superseded(
        state: ReplicationState,
        key: ReplicaKey,
        holder: VmId?,
        now: Duration,
    ): ReplicationStep {
        val replica = state.replicas[key.request]
        if (replica?.key != key) return Step(state)
        val next = discardReplica(state, key, now)
        val claim = replica.claim ?: return Step(next)
        val moved = TakeoverMessage.Moved(key.request, claim.number, holder)
        return answer(next, claim.claimant, moved)
    }

    /** Transfers the generation to the node that claims it, if there is one. */
    private fun grant(state: ReplicationState, replica: Replica, now: Duration): ReplicationStep {
        val claim = replica.claim ?: return put(state, replica)
        val counters = state.counters.copy(grants = state.counters.grants + 1)
        val epoch = replica.key.epoch + 1
        val next = replica.copy(
            key = replica.key.copy(epoch = epoch, term = 1),
            owner = claim.claimant,
            lineage = replica.lineage.begin(epoch, replica.texts.size),
            lastSeenAt = now,
            isYielded = false,
            claim = null,
            grantedClaim = claim.number,
        )
        val granted = state.copy(counters = counters)
        return when (claim.claimant.vm) {
            state.self.vm -> adoptHere(granted, next, claim.number, now)
            else -> Step(
                put(granted, next).state,
                persistentListOf(sendAction(claim.claimant, grantOf(next, claim.number, now))),
            )
        }
    }

    /** Makes this node, which claims its own [replica], the owner and assigns a new holder. */
    private fun adoptHere(
        state: ReplicationState,
        replica: Replica,
        claim: Long,
        now: Duration,
    ): ReplicationStep {
        val owned = OwnedGeneration(
            generation = replica.generation,
            epoch = replica.key.epoch,
            lineage = replica.lineage,
            tokens = replica.texts.mapIndexed(::Token).toPersistentList(),
            place = replica.place,
            term = replica.key.term,
            released = replica.texts.size,
            lastProgressAt = now,
        )
        val start = discardReplica(state, replica.key, now)
        return OwnerSteps.adopt(start, owned, claim, now)
    }

    private fun grantOf(replica: Replica, claim: Long, now: Duration) = ReplicationMessage.Granted(
        key = replica.key,
        claim = claim,
        record = GenerationRecord.of(replica.generation, now),
        lineage = replica.lineage,
        texts = replica.texts,
        place = replica.place,
    )

    private fun wholeReplica(replica: Replica, end: ReplicaEnd, claim: Long, now: Duration) =
        TakeoverMessage.Completed(
            claim = claim,
            record = GenerationRecord.of(replica.generation, now),
            lineage = replica.lineage,
            texts = replica.texts,
            end = end,
        )

    private fun put(state: ReplicationState, replica: Replica): ReplicationStep =
        Step(state.copy(replicas = state.replicas.put(replica.key.request, replica)))

    private fun answer(state: ReplicationState, to: Member, message: TakeoverMessage) =
        state.withActions(ReplicationAction.Answer(to, message))

    private fun refuse(
        state: ReplicationState,
        to: Member,
        message: ReplicationMessage.Claim,
        code: ResultCode,
    ): ReplicationStep =
        answer(state, to, TakeoverMessage.Refused(message.request, message.claim, code.number))
}
