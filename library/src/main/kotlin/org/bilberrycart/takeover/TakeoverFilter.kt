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
import org.bilberrycart.takeover.TakeoverState.Waiting

private typealias TakeoverStep = Step<TakeoverState, TakeoverAction>

/**
 * Finds the generation of a caller that came back to this node, and makes this node its owner.
 *
 * This node is asked first, then the best ranked members at once; the first that has a replica gets
 * the claim. All safety rests on the holder's answer; a wrong guess here costs time only.
 */
public class TakeoverFilter : Filter<TakeoverState, TakeoverEvent, TakeoverAction> {
    override fun step(state: TakeoverState, event: TakeoverEvent, now: Duration): TakeoverStep =
        when (event) {
            is TakeoverEvent.Reconnected -> reconnected(state, event, now)
            is TakeoverEvent.Answered -> answered(state, event, now)
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
        val waiting = Waiting(event.caller, event.after)
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
            askedAt = now,
        )
        val next = state.copy(nextClaim = state.nextClaim + 1)
        return askAll(put(next, event.request, search), event.request, search)
    }

    private fun candidates(state: TakeoverState, request: RequestId): List<Member> {
        val others = state.members.values.filter { it.isReachable }.map { it.member }
        return listOf(state.self) +
            RendezvousRanking.rank(request, others).take(state.settings.candidates)
    }

    private fun askAll(state: TakeoverState, request: RequestId, search: Search): TakeoverStep =
        Step(
            state,
            candidates(state, request)
                .map { TakeoverAction.Ask(it, ReplicationMessage.Find(request, search.claim)) }
                .toPersistentList(),
        )

    private fun answered(
        state: TakeoverState,
        event: TakeoverEvent.Answered,
        now: Duration,
    ): TakeoverStep {
        val message = event.message
        val search = state.searches[message.request]
        if (search == null || search.claim != message.claim) return Step(state)
        val from = event.from.vm
        return when (message) {
            is TakeoverMessage.Found ->
                claimNext(state, message.request, search.copy(found = search.found.add(from)), now)
            is TakeoverMessage.NotHere -> absent(state, message.request, search, from, now)
            is TakeoverMessage.Behind ->
                absent(state, message.request, search.copy(hadBehind = true), from, now)
            is TakeoverMessage.Moved -> moved(state, message, search, from, now)
            is TakeoverMessage.OwnedHere ->
                finish(state, message.request, search, message.lineage, message.size)
            is TakeoverMessage.Whole -> whole(state, message, search, now)
            is TakeoverMessage.Refused -> refuseAll(state, message.request, search, codeOf(message))
            is TakeoverMessage.Undecided -> Step(
                put(
                    state,
                    message.request,
                    search.copy(claimed = null, askedAt = now, hadUndecided = true),
                ),
            )
        }
    }

    private fun codeOf(message: TakeoverMessage.Refused): ResultCode =
        ResultCode.entries.firstOrNull { it.number == message.number } ?: ResultCode.INTERNAL

    private fun absent(
        state: TakeoverState,
        request: RequestId,
        search: Search,
        from: VmId,
        now: Duration,
    ): TakeoverStep {
        val next = search.copy(
            absent = search.absent.add(from),
            found = search.found.remove(from),
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
        val found = search.found.remove(from)
        val next = search.copy(
            absent = search.absent.add(from),
            found = if (holder == null) found else found.add(holder),
            claimed = search.claimed.takeIf { it != from },
        )
        return claimNext(state, message.request, next, now)
    }

    /** Claims the generation of a member that has it, once this node said that it has not. */
    private fun claimNext(
        state: TakeoverState,
        request: RequestId,
        search: Search,
        now: Duration,
    ): TakeoverStep {
        val self = state.self.vm
        val isSelfKnown = self in search.absent || self in search.found
        val next = search.found.firstOrNull { it == self }
            ?: search.found.firstOrNull { isReachable(state, it) }
        if (search.claimed != null || !isSelfKnown || next == null) {
            return Step(put(state, request, search))
        }
        val claiming = search.copy(
            found = search.found.remove(next),
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
        return next.withActions(TakeoverAction.Ask(member, claim))
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

    private fun whole(
        state: TakeoverState,
        message: TakeoverMessage.Whole,
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
            step.then { goOn(it, id, it.searches.getValue(id), now) }
        }
    }

    private fun goOn(
        state: TakeoverState,
        request: RequestId,
        search: Search,
        now: Duration,
    ): TakeoverStep {
        val settings = state.settings
        val age = now - search.startedAt
        val isNowhere = candidates(state, request).all { it.vm in search.absent }
        val claimed = search.claimed
        return when {
            age > settings.giveUp && search.hadUndecided ->
                refuseAll(state, request, search, ResultCode.STORE_UNAVAILABLE)
            age > settings.giveUp || isNowhere && claimed == null && age > settings.settle -> {
                val code = when {
                    search.hadBehind -> ResultCode.LINEAGE_MISMATCH
                    else -> ResultCode.GENERATION_LOST
                }
                refuseAll(state, request, search, code)
            }
            claimed != null -> claimAgain(state, request, search, claimed, now)
            now - search.askedAt > settings.retry -> {
                val again = search.copy(askedAt = now, found = search.found.clear())
                askAll(put(state, request, again), request, again)
            }
            else -> Step(state)
        }
    }

    private fun claimAgain(
        state: TakeoverState,
        request: RequestId,
        search: Search,
        holder: VmId,
        now: Duration,
    ): TakeoverStep {
        val isUp = holder == state.self.vm || isReachable(state, holder)
        return when {
            !isUp || search.claimAttempts >= state.settings.claimAttempts ->
                Step(put(state, request, search.copy(claimed = null, askedAt = now)))
            now - search.claimedAt > state.settings.claimRetry -> {
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
