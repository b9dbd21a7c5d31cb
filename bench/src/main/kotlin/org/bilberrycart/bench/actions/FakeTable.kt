package org.bilberrycart.bench.actions

import kotlin.time.Duration.Companion.milliseconds
import org.bilberrycart.idempotency.CallRecord
import org.bilberrycart.idempotency.IdempotencyAction
import org.bilberrycart.idempotency.IdempotencyEvent
import org.bilberrycart.idempotency.ReadResult
import org.bilberrycart.idempotency.StoredRecord
import org.bilberrycart.idempotency.WriteResult

private const val LOST_SHARE = 0.08
private const val LATE_SHARE = 0.04
private const val STALE_SHARE = 0.1
private const val MAX_LATE = 3_000L
private val TIMEOUT = 700.milliseconds

/** The fake table: conditional writes with outages, lost answers and late effects. */
internal fun SoakWorld.atTable(happening: Happening.AtTable): SoakWorld {
    val action = happening.action
    val isDown = now < tableDownUntil
    return when (action) {
        is IdempotencyAction.ReadBack -> read(happening, isDown)
        is IdempotencyAction.Insert -> write(happening, action.record, action.expected, isDown)
        is IdempotencyAction.CloseRecord ->
            write(happening, action.record, action.expected, isDown)
        is IdempotencyAction.StoreOutcome ->
            write(happening, action.record, action.expected, isDown)
    }
}

private fun SoakWorld.read(happening: Happening.AtTable, isDown: Boolean): SoakWorld {
    val isStale = random().nextDouble() < STALE_SHARE
    val result = when {
        isDown -> ReadResult.Failed
        isStale -> ReadResult.Found(stored = null)
        else -> ReadResult.Found(rows[happening.action.key])
    }
    val event = happening.action.let {
        IdempotencyEvent.RecordRead(it.request, it.storeCallId, result)
    }
    return reply(happening.node, happening.incarnation, event)
}

private fun SoakWorld.write(
    happening: Happening.AtTable,
    record: CallRecord,
    expected: Long?,
    isDown: Boolean,
): SoakWorld {
    val draw = random().nextDouble()
    val isLate = !isDown && draw < LATE_SHARE && happening.incarnation >= 0
    val isLost = !isDown && !isLate && draw < LATE_SHARE + LOST_SHARE
    return when {
        isDown && draw < 1.0 / 2 -> replyWrite(happening, WriteResult.Refused)
        isDown -> replyLate(happening)
        isLate -> replyLate(happening).copy(faults = faults + 1)
            .schedule(
                now + random().nextLong(MAX_LATE).milliseconds,
                happening.copy(incarnation = LATE_EFFECT),
            )
        isLost -> apply(happening, record, expected).let { (world, _) ->
            world.replyLate(happening).copy(faults = faults + 1)
        }
        else -> apply(happening, record, expected).let { (world, result) ->
            world.replyWrite(happening, result)
        }
    }
}

/** No node has this incarnation, so that the reply of a late effect reaches nobody. */
private const val LATE_EFFECT = -1

private data class Outcome(val world: SoakWorld, val result: WriteResult)

private fun SoakWorld.apply(
    happening: Happening.AtTable,
    record: CallRecord,
    expected: Long?,
): Outcome {
    val key = happening.action.key
    val stored = rows[key]
    val isInsert = happening.action is IdempotencyAction.Insert
    val isUnchecked = planted == PlantedFault.UNCONDITIONAL_INSERT && isInsert
    if (stored?.version != expected && !isUnchecked) {
        return Outcome(this, WriteResult.Conflict(stored))
    }
    val next = StoredRecord(record, revision + 1)
    val written = copy(rows = rows.put(key, next), revision = revision + 1)
    return Outcome(written, WriteResult.Written(next.version))
}

private fun SoakWorld.replyWrite(happening: Happening.AtTable, result: WriteResult): SoakWorld =
    reply(happening.node, happening.incarnation, eventOf(happening, result))

private fun SoakWorld.replyLate(happening: Happening.AtTable): SoakWorld = schedule(
    now + TIMEOUT,
    Happening.AtNode(
        happening.node,
        happening.incarnation,
        eventOf(happening, WriteResult.Unknown),
    ),
)

private fun eventOf(happening: Happening.AtTable, result: WriteResult): IdempotencyEvent =
    IdempotencyEvent.RecordWritten(happening.action.request, happening.action.storeCallId, result)
