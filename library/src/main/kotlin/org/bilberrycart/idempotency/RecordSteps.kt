package org.bilberrycart.idempotency

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.ResultCode
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.withActions

/** Handles the result of a write of the record of [call]. */
internal fun IdempotencyState.recordWritten(
    call: CallState,
    event: IdempotencyEvent.RecordWritten,
    now: Duration,
): IdempotencyStep {
    val phase = call.phase as? CallPhase.Recording
    if (phase == null || call.operation != event.operation) return Step(this)
    return when (val result = event.result) {
        is WriteResult.Written -> written(call, phase.intent, result.version, now)
        is WriteResult.Conflict -> conflict(call, phase.intent, result.stored, now)
        WriteResult.Refused -> refused(call, phase, now)
        WriteResult.Unknown -> readBack(call.copy(mayBeStored = true), phase)
    }
}

/** Handles the result of a read of the record of [call]. */
internal fun IdempotencyState.recordRead(
    call: CallState,
    event: IdempotencyEvent.RecordRead,
    now: Duration,
): IdempotencyStep {
    val phase = call.phase as? CallPhase.Recording
    if (phase == null || call.operation != event.operation) return Step(this)
    return when (val result = event.result) {
        is ReadResult.Found -> when (result.stored) {
            null -> wait(call, phase, RecordStage.WRITE_DUE, now)
            else -> conflict(call, phase.intent, result.stored, now)
        }
        ReadResult.Failed -> wait(call, phase, RecordStage.READ_DUE, now)
    }
}

/** Writes the record of [call] as [intent] wants it. */
internal fun IdempotencyState.write(call: CallState, intent: RecordIntent): IdempotencyStep {
    val key = checkNotNull(call.recordKey) { "${call.call.id} has no record" }
    val phase = CallPhase.Recording(intent, RecordStage.WRITING)
    val next = call.copy(phase = phase, operation = nextOperation)
    val request = call.call.id
    val deadline = call.call.deadline
    val action = when (intent) {
        is RecordIntent.Insert -> IdempotencyAction.Insert(
            request,
            nextOperation,
            key,
            recordOf(call, Progress.Pending),
            intent.expected,
            deadline,
        )
        is RecordIntent.Close -> IdempotencyAction.CloseRecord(
            request,
            nextOperation,
            key,
            recordOf(call, Progress.NotRun),
            call.version,
            deadline + limits.closeGrace,
        )
        is RecordIntent.Store -> IdempotencyAction.StoreOutcome(
            request,
            nextOperation,
            key,
            recordOf(call, intent.progress),
            call.version,
            intent.until,
        )
    }
    return copy(nextOperation = nextOperation + 1).with(next).withActions(action)
}

/** Returns the intent to keep [progress] for repeats. */
internal fun IdempotencyState.storeOf(progress: Progress, now: Duration): RecordIntent =
    RecordIntent.Store(progress, now + limits.storeWindow)

/** Handles the passing of time for a call that waits for its record. */
internal fun IdempotencyState.tickRecording(
    call: CallState,
    phase: CallPhase.Recording,
    now: Duration,
): IdempotencyStep = when {
    now >= limitOf(call, phase.intent) -> abandon(call, phase.intent)
    now < call.dueAt -> Step(this)
    phase.stage == RecordStage.WRITE_DUE -> write(call, phase.intent)
    phase.stage == RecordStage.READ_DUE -> readBack(call, phase)
    else -> Step(this)
}

private fun IdempotencyState.limitOf(call: CallState, intent: RecordIntent): Duration =
    when (intent) {
        is RecordIntent.Insert -> call.call.deadline
        is RecordIntent.Close -> call.call.deadline + limits.closeGrace
        is RecordIntent.Store -> intent.until
    }

private fun IdempotencyState.abandon(call: CallState, intent: RecordIntent): IdempotencyStep =
    when (intent) {
        is RecordIntent.Insert, is RecordIntent.Close ->
            finish(call, failed(ResultCode.OUTCOME_UNKNOWN))
        is RecordIntent.Store -> Step(without(call).count { copy(unstored = unstored + 1) })
    }

private fun IdempotencyState.written(
    call: CallState,
    intent: RecordIntent,
    version: Long,
    now: Duration,
): IdempotencyStep = when (intent) {
    is RecordIntent.Insert -> dispatch(call.copy(version = version), now)
    is RecordIntent.Close -> finish(call, notRun(intent.reason))
    is RecordIntent.Store -> Step(without(call))
}

private fun IdempotencyState.conflict(
    call: CallState,
    intent: RecordIntent,
    stored: StoredRecord?,
    now: Duration,
): IdempotencyStep {
    val isOwn = stored?.record?.owner == call.owner
    val wanted = wantedBy(intent)
    return when {
        isOwn && stored?.record?.progress == wanted ->
            written(call, intent, checkNotNull(stored).version, now)
        intent is RecordIntent.Insert -> meet(call, stored, now)
        isOwn && stored?.record?.progress == Progress.Pending ->
            write(call.copy(version = stored.version), intent)
        else -> abandon(call, intent)
    }
}

private fun wantedBy(intent: RecordIntent): Progress = when (intent) {
    is RecordIntent.Insert -> Progress.Pending
    is RecordIntent.Close -> Progress.NotRun
    is RecordIntent.Store -> intent.progress
}

/** Answers a repeat by the record of another owner. */
private fun IdempotencyState.meet(
    call: CallState,
    stored: StoredRecord?,
    now: Duration,
): IdempotencyStep {
    val record = stored?.record ?: return write(call, RecordIntent.Insert())
    val isSameCall = record.fingerprint == call.call.fingerprint &&
        record.operation == call.call.operation
    if (!isSameCall) return finish(call, failed(ResultCode.KEY_REUSED))
    return when (val progress = record.progress) {
        is Progress.Done -> count { copy(replayed = replayed + 1) }
            .finish(call, AnswerPart.Reply(progress.status, progress.body))
        Progress.NotRun -> write(call, RecordIntent.Insert(expected = stored.version))
        Progress.Unknown -> finish(call, failed(ResultCode.OUTCOME_UNKNOWN))
        Progress.Pending -> meetPending(call, record, now)
    }
}

private fun IdempotencyState.meetPending(
    call: CallState,
    record: CallRecord,
    now: Duration,
): IdempotencyStep {
    val seenAt = sightings[record.owner] ?: now
    val patience = record.budgetMillis.milliseconds + limits.lateWindow
    val code = when {
        now - seenAt >= patience -> ResultCode.OUTCOME_UNKNOWN
        else -> ResultCode.IN_PROGRESS
    }
    return remember(record.owner, seenAt, now).finish(call, failed(code))
}

private fun IdempotencyState.remember(
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
    call: CallState,
    phase: CallPhase.Recording,
    now: Duration,
): IdempotencyStep = when {
    phase.intent !is RecordIntent.Insert -> wait(call, phase, RecordStage.WRITE_DUE, now)
    call.mayBeStored -> wait(call, phase, RecordStage.READ_DUE, now)
    else -> finish(call, failed(ResultCode.STORE_UNAVAILABLE, detail = EARLIER_ATTEMPT))
}

private fun IdempotencyState.readBack(
    call: CallState,
    phase: CallPhase.Recording,
): IdempotencyStep {
    val key = checkNotNull(call.recordKey) { "${call.call.id} has no record" }
    val next = call.copy(
        phase = phase.copy(stage = RecordStage.READING),
        operation = nextOperation,
    )
    val deadline = limitOf(call, phase.intent)
    return copy(nextOperation = nextOperation + 1).with(next).withActions(
        IdempotencyAction.ReadBack(call.call.id, nextOperation, key, deadline),
    )
}

private fun IdempotencyState.wait(
    call: CallState,
    phase: CallPhase.Recording,
    stage: RecordStage,
    now: Duration,
): IdempotencyStep {
    val dueAt = now + limits.backoff * (1 + spread())
    return Step(with(call.copy(phase = phase.copy(stage = stage), dueAt = dueAt)))
}

private const val EARLIER_ATTEMPT =
    "this request ran nothing; an earlier one with the same key may have run"

private fun notRun(reason: ResultCode): AnswerPart.Failed =
    failed(ResultCode.NOT_RUN, detail = reason.name)

private fun recordOf(call: CallState, progress: Progress): CallRecord = CallRecord(
    owner = call.owner,
    operation = call.call.operation,
    fingerprint = call.call.fingerprint,
    budgetMillis = (call.call.deadline - call.call.arrivedAt).inWholeMilliseconds,
    progress = progress,
)
