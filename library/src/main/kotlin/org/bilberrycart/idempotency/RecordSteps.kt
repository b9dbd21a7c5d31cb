package org.bilberrycart.idempotency

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.ResultCode
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.withActions

/** Handles the result of a write of the record of [call]. */
internal fun IdempotencyState.recordWritten(
    call: ServiceCallState,
    event: IdempotencyEvent.RecordWritten,
    now: Duration,
): IdempotencyStep {
    val phase = call.phase as? CallPhase.Recording
    if (phase == null || call.storeCallId != event.storeCallId) return Step(this)
    return when (val result = event.result) {
        is WriteResult.Written -> written(call, phase.intent, result.version, now)
        is WriteResult.Conflict -> conflict(call, phase.intent, result.stored, now)
        WriteResult.Refused -> refused(call, phase, now)
        WriteResult.Unknown -> readBack(call.copy(mayBeStored = true), phase)
    }
}

/** Handles the result of a read of the record of [call]. */
internal fun IdempotencyState.recordRead(
    call: ServiceCallState,
    event: IdempotencyEvent.RecordRead,
    now: Duration,
): IdempotencyStep {
    val phase = call.phase as? CallPhase.Recording
    if (phase == null || call.storeCallId != event.storeCallId) return Step(this)
    return when (val result = event.result) {
        is ReadResult.Found -> when (result.stored) {
            null -> scheduleNext(call, phase, RecordStage.WRITE_DUE, now)
            else -> conflict(call, phase.intent, result.stored, now)
        }
        ReadResult.Failed -> scheduleNext(call, phase, RecordStage.READ_DUE, now)
    }
}

/** Writes the record of [call] as [intent] requires. */
internal fun IdempotencyState.write(call: ServiceCallState, intent: RecordIntent): IdempotencyStep {
    val key = checkNotNull(call.recordKey) { "call ${call.serviceCall.id} has no record key" }
    val phase = CallPhase.Recording(intent, RecordStage.WRITING)
    val next = call.copy(phase = phase, storeCallId = nextStoreCallId)
    val request = call.serviceCall.id
    val deadline = call.serviceCall.deadline
    val action = when (intent) {
        is RecordIntent.Insert -> IdempotencyAction.Insert(
            request,
            nextStoreCallId,
            key,
            recordOf(call, Progress.Pending),
            intent.expected,
            deadline,
        )
        is RecordIntent.Close -> IdempotencyAction.CloseRecord(
            request,
            nextStoreCallId,
            key,
            recordOf(call, Progress.NotRun),
            call.version,
            deadline + limits.closeGrace,
        )
        is RecordIntent.Store -> IdempotencyAction.StoreOutcome(
            request,
            nextStoreCallId,
            key,
            recordOf(call, intent.progress),
            call.version,
            intent.until,
        )
    }
    return copy(nextStoreCallId = nextStoreCallId + 1).with(next).withActions(action)
}

/** Returns the intent to store [progress] for repeats. */
internal fun IdempotencyState.storeIntent(progress: Progress, now: Duration): RecordIntent =
    RecordIntent.Store(progress, now + limits.storeWindow)

/** Applies the time limits of a call that waits for its record. */
internal fun IdempotencyState.tickRecording(
    call: ServiceCallState,
    phase: CallPhase.Recording,
    now: Duration,
): IdempotencyStep = when {
    now >= recordDeadline(call, phase.intent) -> abandon(call, phase.intent)
    now < call.dueAt -> Step(this)
    phase.stage == RecordStage.WRITE_DUE -> write(call, phase.intent)
    phase.stage == RecordStage.READ_DUE -> readBack(call, phase)
    else -> Step(this)
}

private fun IdempotencyState.recordDeadline(
    call: ServiceCallState,
    intent: RecordIntent,
): Duration = when (intent) {
    is RecordIntent.Insert -> call.serviceCall.deadline
    is RecordIntent.Close -> call.serviceCall.deadline + limits.closeGrace
    is RecordIntent.Store -> intent.until
}

private fun IdempotencyState.abandon(
    call: ServiceCallState,
    intent: RecordIntent,
): IdempotencyStep = when (intent) {
    is RecordIntent.Insert, is RecordIntent.Close ->
        finish(call, failed(ResultCode.OUTCOME_UNKNOWN))
    is RecordIntent.Store -> Step(without(call).count { copy(unstored = unstored + 1) })
}

private fun IdempotencyState.written(
    call: ServiceCallState,
    intent: RecordIntent,
    version: Long,
    now: Duration,
): IdempotencyStep = when (intent) {
    is RecordIntent.Insert -> dispatch(call.copy(version = version), now)
    is RecordIntent.Close -> finish(call, notRun(intent.reason))
    is RecordIntent.Store -> Step(without(call))
}

private fun IdempotencyState.conflict(
    call: ServiceCallState,
    intent: RecordIntent,
    stored: StoredRecord?,
    now: Duration,
): IdempotencyStep {
    val isOwn = stored?.record?.owner == call.owner
    val target = targetProgress(intent)
    return when {
        isOwn && stored?.record?.progress == target ->
            written(call, intent, checkNotNull(stored).version, now)
        intent is RecordIntent.Insert -> answerRepeat(call, stored, now)
        isOwn && stored?.record?.progress == Progress.Pending ->
            write(call.copy(version = stored.version), intent)
        else -> abandon(call, intent)
    }
}

private fun targetProgress(intent: RecordIntent): Progress = when (intent) {
    is RecordIntent.Insert -> Progress.Pending
    is RecordIntent.Close -> Progress.NotRun
    is RecordIntent.Store -> intent.progress
}

/** Answers a repeat according to the record that another owner wrote. */
private fun IdempotencyState.answerRepeat(
    call: ServiceCallState,
    stored: StoredRecord?,
    now: Duration,
): IdempotencyStep {
    val record = stored?.record ?: return write(call, RecordIntent.Insert())
    val isSameCall = record.fingerprint == call.serviceCall.fingerprint &&
        record.operation == call.serviceCall.operation
    if (!isSameCall) return finish(call, failed(ResultCode.KEY_REUSED))
    return when (val progress = record.progress) {
        is Progress.Done -> count { copy(replayed = replayed + 1) }
            .finish(call, AnswerPart.Reply(progress.status, progress.body))
        Progress.NotRun -> write(call, RecordIntent.Insert(expected = stored.version))
        Progress.Unknown -> finish(call, failed(ResultCode.OUTCOME_UNKNOWN))
        Progress.Pending -> answerPendingRepeat(call, record, now)
    }
}

private fun IdempotencyState.answerPendingRepeat(
    call: ServiceCallState,
    record: CallRecord,
    now: Duration,
): IdempotencyStep {
    val seenAt = sightings[record.owner] ?: now
    val pendingTimeout = record.budgetMillis.milliseconds + limits.lateAnswerWindow
    val code = when {
        now - seenAt >= pendingTimeout -> ResultCode.OUTCOME_UNKNOWN
        else -> ResultCode.IN_PROGRESS
    }
    return recordSighting(record.owner, seenAt, now).finish(call, failed(code))
}

private fun IdempotencyState.recordSighting(
    owner: CallOwner,
    seenAt: Duration,
    now: Duration,
): IdempotencyState {
    val kept = when {
        owner in sightings || sightings.size < limits.sightings -> sightings
        else -> sightings.remove(sightings.minBy { it.value }.key)
    }
    check(seenAt <= now) { "$owner was seen at $seenAt, after $now" }
    return copy(sightings = kept.put(owner, seenAt))
}

private fun IdempotencyState.refused(
    call: ServiceCallState,
    phase: CallPhase.Recording,
    now: Duration,
): IdempotencyStep = when {
    phase.intent !is RecordIntent.Insert -> scheduleNext(call, phase, RecordStage.WRITE_DUE, now)
    call.mayBeStored -> scheduleNext(call, phase, RecordStage.READ_DUE, now)
    else -> finish(
        call,
        failed(ResultCode.STORE_UNAVAILABLE, detail = EARLIER_REQUEST_MAY_HAVE_RUN),
    )
}

private fun IdempotencyState.readBack(
    call: ServiceCallState,
    phase: CallPhase.Recording,
): IdempotencyStep {
    val key = checkNotNull(call.recordKey) { "call ${call.serviceCall.id} has no record key" }
    val next = call.copy(
        phase = phase.copy(stage = RecordStage.READING),
        storeCallId = nextStoreCallId,
    )
    val deadline = recordDeadline(call, phase.intent)
    return copy(nextStoreCallId = nextStoreCallId + 1).with(next).withActions(
        IdempotencyAction.ReadBack(call.serviceCall.id, nextStoreCallId, key, deadline),
    )
}

private fun IdempotencyState.scheduleNext(
    call: ServiceCallState,
    phase: CallPhase.Recording,
    stage: RecordStage,
    now: Duration,
): IdempotencyStep {
    val dueAt = now + limits.backoff * (1 + jitter())
    return Step(with(call.copy(phase = phase.copy(stage = stage), dueAt = dueAt)))
}

private const val EARLIER_REQUEST_MAY_HAVE_RUN =
    "this request ran nothing; an earlier one with the same key may have run"

private fun notRun(reason: ResultCode): AnswerPart.Failed =
    failed(ResultCode.NOT_RUN, detail = reason.name)

private fun recordOf(call: ServiceCallState, progress: Progress): CallRecord = CallRecord(
    owner = call.owner,
    operation = call.serviceCall.operation,
    fingerprint = call.serviceCall.fingerprint,
    budgetMillis = (call.serviceCall.deadline - call.serviceCall.arrivedAt).inWholeMilliseconds,
    progress = progress,
)
