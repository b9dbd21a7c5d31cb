package org.bilberrycart.idempotency

import kotlin.time.Duration
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.RepeatMode
import org.bilberrycart.model.ResultCode
import org.bilberrycart.model.ServiceCall
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.invariant
import org.bilberrycart.pipeline.then
import org.bilberrycart.pipeline.withActions

/**
 * Decides when a call to a plain service is dispatched, retried or refused.
 *
 * A call that may run at most once is dispatched only by the owner of its record, and only after
 * the record is known to be written. The caller is told "not run" only if no byte was sent, this
 * node will send none, and the record, if one may exist, is closed.
 */
public class IdempotencyFilter : Filter<IdempotencyState, IdempotencyEvent, IdempotencyAction> {
    override fun step(
        state: IdempotencyState,
        event: IdempotencyEvent,
        now: Duration,
    ): Step<IdempotencyState, IdempotencyAction> = when (event) {
        is IdempotencyEvent.Arrived -> state.arrive(event.call, now)
        is IdempotencyEvent.RecordWritten -> when (val call = state.calls[event.request]) {
            null -> Step(state)
            else -> state.recordWritten(call, event, now)
        }
        is IdempotencyEvent.RecordRead -> when (val call = state.calls[event.request]) {
            null -> Step(state)
            else -> state.recordRead(call, event, now)
        }
        is IdempotencyEvent.Placed -> state.placed(event)
        is IdempotencyEvent.Unplaceable ->
            state.onAttempt(event.attempt) { state.unplaceable(it, event.code, now) }
        is IdempotencyEvent.Answered ->
            state.onAttempt(event.attempt) { state.answered(it, event, now) }
        is IdempotencyEvent.Lost -> state.onAttempt(event.attempt) { state.lost(it, event, now) }
        IdempotencyEvent.Tick -> state.tick(now)
    }

    private fun IdempotencyState.arrive(call: ServiceCall, now: Duration): IdempotencyStep {
        val counted = count { copy(arrived = arrived + 1) }
        val owner = CallOwner("$instance.$nextStoreCallId")
        val fresh = ServiceCallState(call, owner, CallPhase.Dispatched)
        val runningCall = fresh.recordKey?.let { runningByKey[it] }
        invariant("unique_request", call.id !in calls) { "${call.id} arrived twice" }
        return when {
            calls.size >= limits.calls -> counted.refuse(call, ResultCode.RING_FULL)
            now >= call.deadline -> counted.refuse(call, ResultCode.DEADLINE_PASSED)
            call.repeatMode != RepeatMode.NEVER ->
                counted.copy(retryBudget = retryBudget.deposit()).dispatch(fresh, now)
            fresh.recordKey == null -> counted.refuse(call, ResultCode.KEY_REQUIRED)
            runningCall != null -> counted.answerLocalRepeat(call, checkNotNull(calls[runningCall]))
            else -> counted.reserveKey(fresh)
        }
    }

    private fun IdempotencyState.reserveKey(call: ServiceCallState): IdempotencyStep {
        val key = checkNotNull(call.recordKey) { "call ${call.serviceCall.id} has no record key" }
        return copy(runningByKey = runningByKey.put(key, call.serviceCall.id))
            .write(call, RecordIntent.Insert())
    }

    private fun IdempotencyState.answerLocalRepeat(
        call: ServiceCall,
        first: ServiceCallState,
    ): IdempotencyStep {
        val isSameCall = call.fingerprint == first.serviceCall.fingerprint &&
            call.operation == first.serviceCall.operation
        val intent = (first.phase as? CallPhase.Recording)?.intent
        val outcome = (intent as? RecordIntent.Store)?.progress
        return when {
            !isSameCall -> refuse(call, ResultCode.KEY_REUSED)
            outcome is Progress.Done -> count { copy(replayed = replayed + 1) }.withActions(
                IdempotencyAction.Deliver(
                    call.id,
                    AnswerPart.Reply(outcome.status, outcome.body),
                ),
            )
            else -> refuse(call, ResultCode.IN_PROGRESS)
        }
    }

    private fun IdempotencyState.refuse(call: ServiceCall, code: ResultCode): IdempotencyStep =
        withActions(IdempotencyAction.Deliver(call.id, failed(code)))

    private fun IdempotencyState.onAttempt(
        attempt: AttemptId,
        decide: (ServiceCallState) -> IdempotencyStep,
    ): IdempotencyStep {
        val call = calls[attempt.request]
        val isCurrent = call?.phase == CallPhase.Dispatched && call.attempt == attempt
        return if (call != null && isCurrent) decide(call) else Step(this)
    }

    private fun IdempotencyState.placed(event: IdempotencyEvent.Placed): IdempotencyStep =
        onAttempt(event.attempt) { Step(with(it.copy(upstream = event.upstream))) }

    private fun IdempotencyState.unplaceable(
        call: ServiceCallState,
        code: ResultCode,
        now: Duration,
    ): IdempotencyStep = when {
        call.isAnswered -> write(call, storeIntent(Progress.Unknown, now))
        call.serviceCall.repeatMode == RepeatMode.NEVER -> write(call, RecordIntent.Close(code))
        else -> giveUp(call, code)
    }

    private fun IdempotencyState.answered(
        call: ServiceCallState,
        event: IdempotencyEvent.Answered,
        now: Duration,
    ): IdempotencyStep {
        val isRetryable = event.status in RETRYABLE_STATUSES
        if (call.serviceCall.repeatMode == RepeatMode.IDEMPOTENT && isRetryable) {
            retry(call, now)?.let { return it }
        }
        val reply = AnswerPart.Reply(event.status, event.body)
        val outcome = Progress.Done(event.status, event.body)
        val counted = count { copy(done = done + 1) }
        return when (call.serviceCall.repeatMode) {
            RepeatMode.NEVER -> counted.answer(call, reply)
                .then { it.write(it.current(call), storeIntent(outcome, now)) }
            RepeatMode.KEYED, RepeatMode.IDEMPOTENT -> counted.finish(call, reply)
        }
    }

    private fun IdempotencyState.lost(
        call: ServiceCallState,
        event: IdempotencyEvent.Lost,
        now: Duration,
    ): IdempotencyStep {
        val avoid = call.upstream?.let { call.avoid.add(it) } ?: call.avoid
        val lost = call.copy(avoid = avoid, mayHaveRun = call.mayHaveRun || event.mayHaveRun)
        val isNever = call.serviceCall.repeatMode == RepeatMode.NEVER
        return when {
            call.isAnswered -> write(lost, storeIntent(Progress.Unknown, now))
            isNever && lost.mayHaveRun -> answer(lost, failed(ResultCode.OUTCOME_UNKNOWN))
                .then { it.write(it.current(lost), storeIntent(Progress.Unknown, now)) }
            isNever -> retry(lost, now)
                ?: write(lost, RecordIntent.Close(reasonOf(lost, now)))
            else -> retry(lost, now) ?: giveUp(lost, reasonOf(lost, now))
        }
    }

    private fun reasonOf(call: ServiceCallState, now: Duration): ResultCode = when {
        now >= call.serviceCall.deadline -> ResultCode.DEADLINE_PASSED
        else -> ResultCode.NO_UPSTREAM
    }

    private companion object {
        val RETRYABLE_STATUSES = setOf(429, 502, 503, 504)
    }
}
