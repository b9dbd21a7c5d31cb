package org.bilberrycart.bench.actions

import kotlin.time.Duration.Companion.milliseconds
import org.bilberrycart.idempotency.CallRecord
import org.bilberrycart.idempotency.IdempotencyAction
import org.bilberrycart.idempotency.IdempotencyEvent
import org.bilberrycart.idempotency.ReadResult
import org.bilberrycart.idempotency.StoredRecord
import org.bilberrycart.idempotency.WriteResult

private const val LOST_REPLY_SHARE = 0.08
private const val LATE_WRITE_SHARE = 0.04
private const val STALE_READ_SHARE = 0.1
private const val MAX_LATE_WRITE_MILLIS = 3_000L
private val STORE_CALL_TIMEOUT = 700.milliseconds

/**
 * Handles [call] at the fake table, which has conditional writes, outages, lost replies, stale
 * reads and writes that take effect late.
 */
internal fun Simulation.handleStoreCall(call: SimulationEvent.StoreCall): Simulation {
    val action = call.action
    val isDown = now < tableDownUntil
    return when (action) {
        is IdempotencyAction.ReadBack -> readRow(call, isDown)
        is IdempotencyAction.Insert -> writeRow(call, action.record, action.expected, isDown)
        is IdempotencyAction.CloseRecord ->
            writeRow(call, action.record, action.expected, isDown)
        is IdempotencyAction.StoreOutcome ->
            writeRow(call, action.record, action.expected, isDown)
    }
}

private fun Simulation.readRow(call: SimulationEvent.StoreCall, isDown: Boolean): Simulation {
    val isStale = random().nextDouble() < STALE_READ_SHARE
    val result = when {
        isDown -> ReadResult.Failed
        isStale -> ReadResult.Found(stored = null)
        else -> ReadResult.Found(rows[call.action.key])
    }
    val event = call.action.let {
        IdempotencyEvent.RecordRead(it.request, it.storeCallId, result)
    }
    return reply(call.node, call.incarnation, event)
}

private fun Simulation.writeRow(
    call: SimulationEvent.StoreCall,
    record: CallRecord,
    expected: Long?,
    isDown: Boolean,
): Simulation {
    val draw = random().nextDouble()
    val isLate = !isDown && draw < LATE_WRITE_SHARE && call.incarnation >= 0
    val isLost = !isDown && !isLate && draw < LATE_WRITE_SHARE + LOST_REPLY_SHARE
    return when {
        isDown && draw < 1.0 / 2 -> replyWrite(call, WriteResult.Refused)
        isDown -> replyUnknown(call)
        isLate -> replyUnknown(call).copy(faults = faults + 1)
            .schedule(
                now + random().nextLong(MAX_LATE_WRITE_MILLIS).milliseconds,
                call.copy(incarnation = LATE_WRITE_INCARNATION),
            )
        isLost -> applyWrite(call, record, expected).let { (simulation, _) ->
            simulation.replyUnknown(call).copy(faults = faults + 1)
        }
        else -> applyWrite(call, record, expected).let { (simulation, result) ->
            simulation.replyWrite(call, result)
        }
    }
}

/** No node has this incarnation, so the reply to a write that takes effect late is dropped. */
private const val LATE_WRITE_INCARNATION = -1

private data class WriteStep(val simulation: Simulation, val result: WriteResult)

private fun Simulation.applyWrite(
    call: SimulationEvent.StoreCall,
    record: CallRecord,
    expected: Long?,
): WriteStep {
    val key = call.action.key
    val stored = rows[key]
    val isInsert = call.action is IdempotencyAction.Insert
    val isUnchecked = injectedBug == InjectedBug.UNCONDITIONAL_INSERT && isInsert
    if (stored?.version != expected && !isUnchecked) {
        return WriteStep(this, WriteResult.Conflict(stored))
    }
    val next = StoredRecord(record, revision + 1)
    val written = copy(rows = rows.put(key, next), revision = revision + 1)
    return WriteStep(written, WriteResult.Written(next.version))
}

private fun Simulation.replyWrite(
    call: SimulationEvent.StoreCall,
    result: WriteResult,
): Simulation = reply(call.node, call.incarnation, recordWritten(call, result))

private fun Simulation.replyUnknown(call: SimulationEvent.StoreCall): Simulation = schedule(
    now + STORE_CALL_TIMEOUT,
    SimulationEvent.NodeInput(
        call.node,
        call.incarnation,
        recordWritten(call, WriteResult.Unknown),
    ),
)

private fun recordWritten(call: SimulationEvent.StoreCall, result: WriteResult): IdempotencyEvent =
    IdempotencyEvent.RecordWritten(call.action.request, call.action.storeCallId, result)
