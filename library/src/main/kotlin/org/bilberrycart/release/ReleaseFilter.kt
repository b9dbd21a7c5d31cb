package org.bilberrycart.release

import kotlin.time.Duration
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.ResultCode
import org.bilberrycart.model.Token
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.invariant
import org.bilberrycart.pipeline.then
import org.bilberrycart.pipeline.withActions

/**
 * Delivers released tokens to callers, each index once and in order.
 *
 * No more parts are delivered to a caller than its credit allows, so a slow caller delays only
 * itself: its cursor falls behind, and its next parts hold the tokens that arrived meanwhile.
 */
public class ReleaseFilter(private val settings: ReleaseSettings = ReleaseSettings()) :
    Filter<ReleaseState, ReleaseEvent, ReleaseAction> {
    override fun step(
        state: ReleaseState,
        event: ReleaseEvent,
        now: Duration,
    ): Step<ReleaseState, ReleaseAction> = when (event) {
        is ReleaseEvent.Requested -> requested(state, event)
        is ReleaseEvent.Reconnected -> reconnected(state, event)
        is ReleaseEvent.Adopted -> adopted(state, event, now)
        is ReleaseEvent.OwnershipLost -> ownershipLost(state, event)
        is ReleaseEvent.Refused ->
            state.withActions(ReleaseAction.Deliver(event.caller, AnswerPart.Failed(event.code)))
        is ReleaseEvent.CreditGranted -> creditGranted(state, event)
        is ReleaseEvent.Disconnected -> disconnected(state, event, now)
        is ReleaseEvent.CancelRequested -> cancel(state, event)
        is ReleaseEvent.Released -> released(state, event)
        is ReleaseEvent.Ended -> ended(state, event, now)
        ReleaseEvent.Tick -> tick(state, now)
    }

    private fun requested(state: ReleaseState, event: ReleaseEvent.Requested): ReleaseStep {
        val answer = Answer(
            request = event.request,
            organisation = event.organisation,
            cursors = Answer.NO_CURSORS.put(event.caller, firstCursor(next = 0)),
        )
        return Step(state.put(answer))
    }

    private fun reconnected(state: ReleaseState, event: ReleaseEvent.Reconnected): ReleaseStep {
        val answer = state.answers[event.request]
        val after = event.after
        return when {
            answer == null -> state.withActions(
                ReleaseAction.Locate(event.request, event.organisation, event.caller, after),
            )
            answer.organisation != event.organisation -> refuse(state, event, ResultCode.NOT_FOUND)
            after != null && !isOnLineage(answer, after.epoch, after.index) ->
                refuse(state, event, ResultCode.LINEAGE_MISMATCH)
            else -> {
                val cursor = firstCursor(next = if (after == null) 0 else after.index + 1)
                val cursors = answer.cursors.put(event.caller, cursor)
                deliver(state, answer.copy(cursors = cursors, unreadSince = null))
            }
        }
    }

    private fun isOnLineage(answer: Answer, epoch: Int, index: Int): Boolean =
        answer.lineage.contains(epoch, index) && index < answer.tokens.size

    private fun refuse(
        state: ReleaseState,
        event: ReleaseEvent.Reconnected,
        code: ResultCode,
    ): ReleaseStep = state.withActions(ReleaseAction.Deliver(event.caller, AnswerPart.Failed(code)))

    private fun adopted(
        state: ReleaseState,
        event: ReleaseEvent.Adopted,
        now: Duration,
    ): ReleaseStep {
        val known = state.answers[event.request]
        if (known != null && known.lineage.epoch >= event.lineage.epoch) return Step(state)
        val answer = Answer(
            request = event.request,
            organisation = event.organisation,
            lineage = event.lineage,
            tokens = event.tokens,
            cursors = known?.cursors ?: Answer.NO_CURSORS,
            unreadSince = if (known?.cursors.isNullOrEmpty()) now else null,
        )
        return deliver(state, answer)
    }

    private fun ownershipLost(state: ReleaseState, event: ReleaseEvent.OwnershipLost): ReleaseStep {
        val answer = state.answers[event.request]
        if (answer == null || answer.end != null) return Step(state)
        val failed = AnswerPart.Failed(ResultCode.FENCED)
        val deliveries = answer.cursors.keys.map { ReleaseAction.Deliver(it, failed) }
        val ended = ReleaseAction.AnswerEnded(event.request, answer.tokens.size)
        return Step(
            state.remove(event.request),
            persistentListOf<ReleaseAction>(ended).addAll(deliveries),
        )
    }

    private fun creditGranted(
        state: ReleaseState,
        event: ReleaseEvent.CreditGranted,
    ): ReleaseStep {
        val answer = state.answers[event.request] ?: return Step(state)
        val cursor = answer.cursors[event.caller] ?: return Step(state)
        val updated = cursor.copy(credit = cursor.credit + event.parts)
        invariant("caller_credit", updated.credit <= settings.outboxParts) {
            "caller ${event.caller.value} has credit ${updated.credit} > ${settings.outboxParts}"
        }
        return deliver(state, answer.copy(cursors = answer.cursors.put(event.caller, updated)))
    }

    private fun cancel(state: ReleaseState, event: ReleaseEvent.CancelRequested): ReleaseStep {
        val answer = state.answers[event.request]
        val isSameOrganisation = answer?.organisation == event.organisation
        if (!isSameOrganisation || answer?.end != null) return Step(state)
        return state.withActions(ReleaseAction.StopGeneration(event.request, ResultCode.CANCELLED))
    }

    private fun disconnected(
        state: ReleaseState,
        event: ReleaseEvent.Disconnected,
        now: Duration,
    ): ReleaseStep {
        val answer = state.answers[event.request] ?: return Step(state)
        if (event.caller !in answer.cursors) return Step(state)
        val remaining = answer.cursors.remove(event.caller)
        val unreadSince = if (remaining.isEmpty()) now else answer.unreadSince
        return Step(state.put(answer.copy(cursors = remaining, unreadSince = unreadSince)))
    }

    private fun released(state: ReleaseState, event: ReleaseEvent.Released): ReleaseStep {
        val answer = state.answers[event.request] ?: return Step(state)
        if (answer.end != null || event.tokens.isEmpty()) return Step(state)
        invariant("one_release_per_index", event.tokens.first().index == answer.tokens.size) {
            "index ${event.tokens.first().index} of ${event.request}, wanted ${answer.tokens.size}"
        }
        invariant("release_epoch", event.epoch == answer.lineage.epoch) {
            "released epoch ${event.epoch} of ${event.request}, expected ${answer.lineage.epoch}"
        }
        return deliver(state, answer.copy(tokens = answer.tokens.addAll(event.tokens)))
    }

    private fun ended(state: ReleaseState, event: ReleaseEvent.Ended, now: Duration): ReleaseStep {
        val answer = state.answers[event.request]
            ?: return state.withActions(ReleaseAction.AnswerEnded(event.request))
        if (answer.end != null) return Step(state)
        val ended = ReleaseAction.AnswerEnded(event.request, answer.tokens.size)
        val endedAnswer = answer.copy(end = event.end, unreadSince = answer.unreadSince ?: now)
        return Step<ReleaseState, ReleaseAction>(state, persistentListOf(ended))
            .then { deliver(it, endedAnswer) }
    }

    private fun tick(state: ReleaseState, now: Duration): ReleaseStep {
        val expired = state.answers.values.filter { answer ->
            val since = answer.unreadSince
            val isUnread = answer.cursors.isEmpty()
            isUnread && since != null && now - since >= settings.reconnectGrace
        }
        return expired.fold(ReleaseStep(state)) { step, answer ->
            when {
                answer.end != null -> step.copy(state = step.state.remove(answer.request))
                else -> step.then { stopGeneration(it, answer, now) }
            }
        }
    }

    /**
     * Asks to stop the generation; the answer is removed after the generation has ended.
     *
     * The action can be lost because a ring refuses it, so it is repeated once after another
     * [ReleaseSettings.reconnectGrace], and the answer is then removed in any case.
     */
    private fun stopGeneration(state: ReleaseState, answer: Answer, now: Duration): ReleaseStep {
        val action = ReleaseAction.StopGeneration(answer.request, ResultCode.CANCELLED)
        val next = if (answer.isStopRequested) {
            state.remove(answer.request)
        } else {
            state.put(answer.copy(isStopRequested = true, unreadSince = now))
        }
        return Step(next, persistentListOf(action))
    }

    private fun deliver(state: ReleaseState, answer: Answer): ReleaseStep =
        answer.cursors.entries.fold(ReleaseStep(state.put(answer))) { step, (caller, cursor) ->
            val parts = readableParts(answer, cursor)
            val sent = parts.sumOf { if (it is AnswerPart.Tokens) it.tokens.size else 0 }
            val moved = Cursor(next = cursor.next + sent, credit = cursor.credit - parts.size)
            val current = step.state.answers.getValue(answer.request)
            val hasEnd = parts.any(AnswerPart::isLast)
            val cursors =
                with(current.cursors) { if (hasEnd) remove(caller) else put(caller, moved) }
            Step(
                step.state.put(current.copy(cursors = cursors)),
                step.actions.addAll(parts.map { ReleaseAction.Deliver(caller, it) }),
            )
        }

    private fun readableParts(answer: Answer, cursor: Cursor): List<AnswerPart> {
        val tokens = answer.tokens.subList(cursor.next, answer.tokens.size)
        val runs = tokens.runsByEpoch(answer).take(cursor.credit)
        val isCaughtUp = runs.sumOf { it.tokens.size } == tokens.size
        val end = answer.end
        return if (end != null && isCaughtUp && runs.size < cursor.credit) runs + end else runs
    }

    /** Splits these tokens into parts of one epoch and at most [MAX_PART_TOKENS] tokens each. */
    private fun List<Token>.runsByEpoch(answer: Answer): List<AnswerPart.Tokens> =
        groupBy { answer.lineage.epochOf(it.index) }
            .flatMap { (epoch, run) ->
                run.chunked(MAX_PART_TOKENS).map { AnswerPart.Tokens(epoch, it) }
            }

    private fun firstCursor(next: Int) = Cursor(next = next, credit = settings.outboxParts)

    private companion object {
        const val MAX_PART_TOKENS = 256
    }
}

private typealias ReleaseStep = Step<ReleaseState, ReleaseAction>
