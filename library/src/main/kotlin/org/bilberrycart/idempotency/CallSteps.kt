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

/** Returns the last part of an answer that fails with [code]. */
internal fun failed(code: ResultCode, detail: String = ""): AnswerPart.Failed =
    AnswerPart.Failed(code, detail, retryAfter = if (code.retryable) 1.seconds else null)

/** Returns the newest state of [call]. */
internal fun IdempotencyState.current(call: CallState): CallState =
    checkNotNull(calls[call.call.id]) { "no call ${call.call.id}" }

/** Asks routing for an upstream; the deadline is checked here and again by dispatch. */
internal fun IdempotencyState.dispatch(call: CallState, now: Duration): IdempotencyStep {
    val isNever = call.call.repeatMode == RepeatMode.NEVER
    if (now >= call.call.deadline) {
        val reason = ResultCode.DEADLINE_PASSED
        return if (isNever) write(call, RecordIntent.Close(reason)) else giveUp(call, reason)
    }
    val next = call.copy(
        phase = CallPhase.Dispatched,
        attempts = call.attempts + 1,
        upstream = null,
    )
    val placement = Placement(next.attempt, next.call, avoid = next.avoid)
    return with(next)
        .count { copy(dispatched = dispatched + 1) }
        .withActions(IdempotencyAction.Place(placement))
}

/** Plans the next attempt; null if attempts, time or the retry budget are used up. */
internal fun IdempotencyState.retry(call: CallState, now: Duration): IdempotencyStep? {
    val doubled = limits.backoff * 2.0.pow(call.attempts - 1)
    val at = now + doubled * (1 + spread()) / 2.0
    val isAllowed = call.attempts < limits.attempts && at < call.call.deadline
    val budget = if (isAllowed) retries.withdraw() else null
    return budget?.let {
        Step(copy(retries = it).with(call.copy(phase = CallPhase.RetryDue(at))))
    }
}

/** Ends a call that may be repeated; [reason] says why it has no further attempt. */
internal fun IdempotencyState.giveUp(call: CallState, reason: ResultCode): IdempotencyStep = when {
    !call.mayHaveRun -> finish(call, failed(reason))
    call.call.repeatMode == RepeatMode.IDEMPOTENT ->
        finish(call, failed(ResultCode.UPSTREAM_FAILED))
    else -> finish(call, failed(ResultCode.OUTCOME_UNKNOWN))
}

/** Answers the caller of [call], unless it has an answer, and keeps the call. */
internal fun IdempotencyState.answer(call: CallState, part: AnswerPart): IdempotencyStep {
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
        .withActions(IdempotencyAction.Deliver(call.call.id, part))
}

/** Answers the caller of [call], unless it has an answer, and forgets the call. */
internal fun IdempotencyState.finish(call: CallState, part: AnswerPart): IdempotencyStep =
    answer(call, part).then { Step(it.without(call)) }

/** Handles the passing of time for all calls. */
internal fun IdempotencyState.tick(now: Duration): IdempotencyStep =
    calls.values.fold(IdempotencyStep(this)) { step, call -> step.then { it.tick(call, now) } }

private fun IdempotencyState.tick(call: CallState, now: Duration): IdempotencyStep =
    when (val phase = call.phase) {
        is CallPhase.RetryDue -> if (now >= phase.at) dispatch(call, now) else Step(this)
        CallPhase.Dispatched -> tickDispatched(call, now)
        is CallPhase.Recording -> tickRecording(call, phase, now)
    }

private fun IdempotencyState.tickDispatched(call: CallState, now: Duration): IdempotencyStep {
    val deadline = call.call.deadline
    val isNever = call.call.repeatMode == RepeatMode.NEVER
    return when {
        now < deadline + limits.settleGrace -> Step(this)
        !isNever -> withActions<IdempotencyState, IdempotencyAction>(
            IdempotencyAction.Cancel(call.attempt),
        ).then { it.finish(call, failed(lateCode(call))) }
        now >= deadline + limits.lateWindow -> write(call, storeOf(Progress.Unknown, now))
        else -> answer(call, failed(ResultCode.OUTCOME_UNKNOWN))
    }
}

private fun lateCode(call: CallState): ResultCode = when (call.call.repeatMode) {
    RepeatMode.IDEMPOTENT -> ResultCode.DEADLINE_EXCEEDED
    RepeatMode.KEYED, RepeatMode.NEVER -> ResultCode.OUTCOME_UNKNOWN
}
