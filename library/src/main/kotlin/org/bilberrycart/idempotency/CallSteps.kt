package org.bilberrycart.idempotency

import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.Placement
import org.bilberrycart.model.RepeatMode
import org.bilberrycart.model.ResultCode
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then
import org.bilberrycart.pipeline.withActions

internal typealias IdempotencyStep = Step<IdempotencyState, IdempotencyAction>

/** Returns the final part of an answer that failed with [code]. */
internal fun failed(code: ResultCode, detail: String = ""): AnswerPart.Failed =
    AnswerPart.Failed(code, detail, retryAfter = if (code.retryable) 1.seconds else null)

/** Returns the current state of [call], which may be an older one. */
internal fun IdempotencyState.current(call: ServiceCallState): ServiceCallState =
    checkNotNull(calls[call.serviceCall.id]) { "call ${call.serviceCall.id} is not in progress" }

/** Requests an upstream for the next attempt; dispatch checks the deadline once more. */
internal fun IdempotencyState.dispatch(call: ServiceCallState, now: Duration): IdempotencyStep {
    val isNever = call.serviceCall.repeatMode == RepeatMode.NEVER
    if (now >= call.serviceCall.deadline) {
        val reason = ResultCode.DEADLINE_PASSED
        return if (isNever) write(call, RecordIntent.Close(reason)) else giveUp(call, reason)
    }
    val next = call.copy(
        phase = CallPhase.Dispatched,
        attempts = call.attempts + 1,
        upstream = null,
    )
    val placement = Placement(next.attempt, next.serviceCall, avoid = next.avoid)
    return with(next)
        .count { copy(dispatched = dispatched + 1) }
        .withActions(IdempotencyAction.Place(placement))
}

/** Schedules the next attempt; null if attempts, time or the retry budget are used up. */
internal fun IdempotencyState.retry(call: ServiceCallState, now: Duration): IdempotencyStep? {
    val doubled = limits.backoff * 2.0.pow(call.attempts - 1)
    val at = now + doubled * (1 + jitter()) / 2.0
    val isAllowed = call.attempts < limits.attempts && at < call.serviceCall.deadline
    val budget = if (isAllowed) retryBudget.withdraw() else null
    return budget?.let {
        Step(copy(retryBudget = it).with(call.copy(phase = CallPhase.RetryDue(at))))
    }
}

/** Ends a call that needs no record; [reason] says why there is no further attempt. */
internal fun IdempotencyState.giveUp(call: ServiceCallState, reason: ResultCode): IdempotencyStep =
    when {
        !call.mayHaveRun -> finish(call, failed(reason))
        call.serviceCall.repeatMode == RepeatMode.IDEMPOTENT ->
            finish(call, failed(ResultCode.UPSTREAM_FAILED))
        else -> finish(call, failed(ResultCode.OUTCOME_UNKNOWN))
    }

/** Answers the caller of [call], unless it was answered, and keeps the state of the call. */
internal fun IdempotencyState.answer(call: ServiceCallState, part: AnswerPart): IdempotencyStep {
    if (call.isAnswered) return Step(with(call))
    val code = (part as? AnswerPart.Failed)?.code
    val counted = count {
        when (code) {
            ResultCode.NOT_RUN -> copy(notRun = notRun + 1)
            ResultCode.OUTCOME_UNKNOWN -> copy(unknown = unknown + 1)
            else -> this
        }
    }
    return counted.with(call.copy(isAnswered = true))
        .withActions(IdempotencyAction.Deliver(call.serviceCall.id, part))
}

/** Answers the caller of [call], unless it was answered, and removes the call. */
internal fun IdempotencyState.finish(call: ServiceCallState, part: AnswerPart): IdempotencyStep =
    answer(call, part).then { Step(it.without(call)) }

/** Applies the time limits of all calls. */
internal fun IdempotencyState.tick(now: Duration): IdempotencyStep =
    calls.values.fold(IdempotencyStep(this)) { step, call -> step.then { it.tick(call, now) } }

private fun IdempotencyState.tick(call: ServiceCallState, now: Duration): IdempotencyStep =
    when (val phase = call.phase) {
        is CallPhase.RetryDue -> if (now >= phase.at) dispatch(call, now) else Step(this)
        CallPhase.Dispatched -> tickDispatched(call, now)
        is CallPhase.Recording -> tickRecording(call, phase, now)
    }

private fun IdempotencyState.tickDispatched(
    call: ServiceCallState,
    now: Duration,
): IdempotencyStep {
    val deadline = call.serviceCall.deadline
    val isNever = call.serviceCall.repeatMode == RepeatMode.NEVER
    return when {
        now < deadline + limits.dispatchGrace -> Step(this)
        !isNever -> withActions<IdempotencyState, IdempotencyAction>(
            IdempotencyAction.Cancel(call.attempt),
        ).then { it.finish(call, failed(deadlineCode(call))) }
        now >= deadline + limits.lateAnswerWindow -> write(call, storeIntent(Progress.Unknown, now))
        else -> answer(call, failed(ResultCode.OUTCOME_UNKNOWN))
    }
}

private fun deadlineCode(call: ServiceCallState): ResultCode = when (call.serviceCall.repeatMode) {
    RepeatMode.IDEMPOTENT -> ResultCode.DEADLINE_EXCEEDED
    RepeatMode.KEYED, RepeatMode.NEVER -> ResultCode.OUTCOME_UNKNOWN
}
