package org.bilberrycart.takeover

import kotlin.time.Duration
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.membership.Member
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ResultCode
import org.bilberrycart.model.Token
import org.bilberrycart.model.VmId
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then
import org.bilberrycart.pipeline.withActions
import org.bilberrycart.replication.RendezvousRanking
import org.bilberrycart.replication.ReplicationAction
import org.bilberrycart.replication.ReplicationMessage
import org.bilberrycart.takeover.TakeoverState.Search
import org.bilberrycart.takeover.TakeoverState.WaitingCaller

private typealias TakeoverStep = Step<TakeoverState, TakeoverAction>

/**
 * Finds the generation of a caller that reconnected to this node and makes this node its owner.
 *
 * This node and the highest-ranked members are queried at once. After this node has replied, the
 * generation is claimed from a member that has it, preferably this node. Correctness depends only
 * on the reply of that member to the claim; a wrong choice here costs only time.
 */
public class TakeoverFilter : Filter<TakeoverState, TakeoverEvent, TakeoverAction> {
    override fun step(state: TakeoverState, event: TakeoverEvent, now: Duration): TakeoverStep =
        when (event) {
            is TakeoverEvent.Reconnected -> reconnected(state, event, now)
            is TakeoverEvent.ReplyReceived -> replyReceived(state, event, now)
            is TakeoverEvent.Adopted -> adopted(state, event.adoption)
            is TakeoverEvent.MemberChanged -> Step(
                state.copy(
                    members = state.members.put(event.record.member.vm, event.record),
                ),
            )
            TakeoverEvent.Tick -> tick(state, now)
        }

    private fun reconnected(
        state: TakeoverState,
        event: TakeoverEvent.Reconnected,
        now: Duration,
    ): TakeoverStep {
        val waiting = WaitingCaller(event.caller, event.after)
        val known = state.searches[event.request]
        if (known != null && known.organisation != event.organisation) {
            return state.withActions(
                TakeoverAction.Refuse(event.caller, event.request, ResultCode.NOT_FOUND),
            )
        }
        if (known != null) {
            return Step(put(state, event.request, known.copy(callers = known.callers.add(waiting))))
        }
        val search = Search(
            claim = state.nextClaim,
            organisation = event.organisation,
            callers = persistentListOf(waiting),
            startedAt = now,
            queriedAt = now,
        )
        val next = state.copy(nextClaim = state.nextClaim + 1)
        return queryCandidates(put(next, event.request, search), event.request, search)
    }

    /** Returns this node and the reachable members that rank highest for [request]. */
    private fun candidates(state: TakeoverState, request: RequestId): List<Member> {
        val others = state.members.values.filter { it.isReachable }.map { it.member }
        return listOf(state.self) +
            RendezvousRanking.rank(request, others).take(state.settings.candidates)
    }

    private fun queryCandidates(
        state: TakeoverState,
        request: RequestId,
        search: Search,
    ): TakeoverStep = Step(
        state,
        candidates(state, request)
            .map { TakeoverAction.Send(it, ReplicationMessage.Find(request, search.claim)) }
            .toPersistentList(),
    )

    private fun replyReceived(
        state: TakeoverState,
        event: TakeoverEvent.ReplyReceived,
        now: Duration,
    ): TakeoverStep {
        val message = event.message
        val search = state.searches[message.request]
        if (search == null || search.claim != message.claim) return Step(state)
        val from = event.from.vm
        return when (message) {
            is TakeoverMessage.Found ->
                claimNext(
                    state,
                    message.request,
                    search.copy(holders = search.holders.add(from)),
                    now,
                )
            is TakeoverMessage.NotFound -> notFound(state, message.request, search, from, now)
            is TakeoverMessage.ReplicaBehind ->
                notFound(state, message.request, search.copy(hasReplicaBehind = true), from, now)
            is TakeoverMessage.Moved -> moved(state, message, search, from, now)
            is TakeoverMessage.Owned ->
                finish(state, message.request, search, message.lineage, message.size)
            is TakeoverMessage.Completed -> completed(state, message, search, now)
            is TakeoverMessage.Refused -> refuseAll(state, message.request, search, codeOf(message))
            is TakeoverMessage.Undecided -> Step(
                put(
                    state,
                    message.request,
                    search.copy(claimed = null, queriedAt = now, hasUndecidedHolder = true),
                ),
            )
        }
    }

    private fun codeOf(message: TakeoverMessage.Refused): ResultCode =
        ResultCode.entries.firstOrNull { it.number == message.number } ?: ResultCode.INTERNAL

    private fun notFound(
        state: TakeoverState,
        request: RequestId,
        search: Search,
        from: VmId,
        now: Duration,
    ): TakeoverStep {
        val next = search.copy(
            withoutReplica = search.withoutReplica.add(from),
            holders = search.holders.remove(from),
            claimed = search.claimed.takeIf { it != from },
        )
        return claimNext(state, request, next, now)
    }

    private fun moved(
        state: TakeoverState,
        message: TakeoverMessage.Moved,
        search: Search,
        from: VmId,
        now: Duration,
    ): TakeoverStep {
        val holder = message.holder
        val holders = search.holders.remove(from)
        val next = search.copy(
            withoutReplica = search.withoutReplica.add(from),
            holders = if (holder == null) holders else holders.add(holder),
            claimed = search.claimed.takeIf { it != from },
        )
        return claimNext(state, message.request, next, now)
    }

    /** Claims the generation from a member that has it, this node first, once this node replied. */
    private fun claimNext(
        state: TakeoverState,
        request: RequestId,
        search: Search,
        now: Duration,
    ): TakeoverStep {
        val self = state.self.vm
        val hasSelfReplied = self in search.withoutReplica || self in search.holders
        val next = search.holders.firstOrNull { it == self }
            ?: search.holders.firstOrNull { isReachable(state, it) }
        if (search.claimed != null || !hasSelfReplied || next == null) {
            return Step(put(state, request, search))
        }
        val claiming = search.copy(
            holders = search.holders.remove(next),
            claimed = next,
            claimedAt = now,
            claimAttempts = 1,
        )
        return sendClaim(state, request, claiming, next)
    }

    private fun sendClaim(
        state: TakeoverState,
        request: RequestId,
        search: Search,
        holder: VmId,
    ): TakeoverStep {
        val member = if (holder == state.self.vm) state.self else state.members[holder]?.member
        val next = put(state, request, search)
        if (member == null) return Step(next)
        val claim = ReplicationMessage.Claim(
            request = request,
            claim = search.claim,
            organisation = search.organisation,
            after = search.callers.first().after,
        )
        return next.withActions(TakeoverAction.Send(member, claim))
    }

    private fun adopted(state: TakeoverState, adoption: ReplicationAction.Adopted): TakeoverStep {
        val adopt = TakeoverAction.Adopt(
            adoption.generation,
            adoption.epoch,
            adoption.tokens,
            adoption.lineage,
            adoption.place,
        )
        val request = adoption.generation.id
        val search = state.searches[request] ?: return state.withActions(adopt)
        val size = adoption.tokens.size
        return Step(state, persistentListOf<TakeoverAction>(adopt))
            .then { finish(it, request, search, adoption.lineage, size) }
    }

    private fun completed(
        state: TakeoverState,
        message: TakeoverMessage.Completed,
        search: Search,
        now: Duration,
    ): TakeoverStep {
        val generation = message.record.toRequest(now)
        val replay = TakeoverAction.Replay(
            request = generation.id,
            organisation = generation.organisation,
            tokens = message.texts.mapIndexed(::Token).toPersistentList(),
            lineage = message.lineage,
            end = message.end.toAnswerPart(),
        )
        return Step(state, persistentListOf<TakeoverAction>(replay))
            .then { finish(it, generation.id, search, message.lineage, message.texts.size) }
    }

    private fun tick(state: TakeoverState, now: Duration): TakeoverStep {
        val start: TakeoverStep = Step(state)
        return state.searches.keys.fold(start) { step, id ->
            step.then { continueSearch(it, id, it.searches.getValue(id), now) }
        }
    }

    /** Ends the search of [request] with a refusal if it took too long, or sends what is due. */
    private fun continueSearch(
        state: TakeoverState,
        request: RequestId,
        search: Search,
        now: Duration,
    ): TakeoverStep {
        val settings = state.settings
        val age = now - search.startedAt
        val isNotFound = candidates(state, request).all { it.vm in search.withoutReplica }
        val claimed = search.claimed
        return when {
            age > settings.searchTimeout && search.hasUndecidedHolder ->
                refuseAll(state, request, search, ResultCode.STORE_UNAVAILABLE)
            age > settings.searchTimeout ||
                isNotFound &&
                claimed == null &&
                age > settings.minSearchTime -> {
                val code = when {
                    search.hasReplicaBehind -> ResultCode.LINEAGE_MISMATCH
                    else -> ResultCode.GENERATION_LOST
                }
                refuseAll(state, request, search, code)
            }
            claimed != null -> retryClaim(state, request, search, claimed, now)
            now - search.queriedAt > settings.retryInterval -> {
                val again = search.copy(queriedAt = now, holders = search.holders.clear())
                queryCandidates(put(state, request, again), request, again)
            }
            else -> Step(state)
        }
    }

    /** Sends the claim to [holder] again if it is due, or gives up on [holder]. */
    private fun retryClaim(
        state: TakeoverState,
        request: RequestId,
        search: Search,
        holder: VmId,
        now: Duration,
    ): TakeoverStep {
        val isAvailable = holder == state.self.vm || isReachable(state, holder)
        return when {
            !isAvailable || search.claimAttempts >= state.settings.maxClaimAttempts ->
                Step(put(state, request, search.copy(claimed = null, queriedAt = now)))
            now - search.claimedAt > state.settings.claimRetryInterval -> {
                val again = search.copy(claimedAt = now, claimAttempts = search.claimAttempts + 1)
                sendClaim(state, request, again, holder)
            }
            else -> Step(state)
        }
    }

    private fun isReachable(state: TakeoverState, vm: VmId): Boolean =
        state.members[vm]?.isReachable == true

    private fun put(state: TakeoverState, request: RequestId, search: Search): TakeoverState =
        state.copy(searches = state.searches.put(request, search))
}
