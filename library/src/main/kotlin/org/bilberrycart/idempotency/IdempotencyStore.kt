package org.bilberrycart.idempotency

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import org.bilberrycart.store.Condition
import org.bilberrycart.store.PlatformEvent
import org.bilberrycart.store.RowWrite
import org.bilberrycart.store.StoreResult
import org.bilberrycart.store.WriteGroup

/**
 * Translates between the idempotency duty and the platform duty.
 *
 * @property retention how long the platform keeps a record; a key used again later is a new call.
 */
public class IdempotencyStore(private val retention: Duration = RETENTION) {
    /** Returns the call to the platform duty that carries out [action]. */
    public fun toCall(action: IdempotencyAction.Store): PlatformEvent.Call = when (action) {
        is IdempotencyAction.Insert -> {
            val condition = action.expected?.let(Condition::VersionIs) ?: Condition.Absent
            write(action, action.record, condition)
        }
        is IdempotencyAction.CloseRecord ->
            write(action, action.record, Condition.VersionIs(action.expected))
        is IdempotencyAction.StoreOutcome ->
            write(action, action.record, Condition.VersionIs(action.expected))
        is IdempotencyAction.ReadBack -> PlatformEvent.Read(
            contextOf(action),
            CallRecordCodec.rowKeyOf(action.key),
            action.deadline,
        )
    }

    /** Returns the event that reports [result] to the idempotency duty. */
    public fun toEvent(context: IdempotencyContext, result: StoreResult): IdempotencyEvent =
        when (result) {
            is StoreResult.Applied -> written(context, WriteResult.Written(result.version))
            is StoreResult.Conflict -> written(
                context,
                WriteResult.Conflict(result.row?.let(CallRecordCodec::decode)),
            )
            is StoreResult.Unavailable -> unavailable(context)
            is StoreResult.UnknownOutcome -> written(context, WriteResult.Unknown)
            is StoreResult.Found ->
                read(context, ReadResult.Found(result.row?.let(CallRecordCodec::decode)))
            is StoreResult.Listed -> read(context, ReadResult.Failed)
        }

    private fun unavailable(context: IdempotencyContext): IdempotencyEvent = when {
        context.isRead -> read(context, ReadResult.Failed)
        else -> written(context, WriteResult.Refused)
    }

    private fun written(context: IdempotencyContext, result: WriteResult) =
        IdempotencyEvent.RecordWritten(context.request, context.storeCallId, result)

    private fun read(context: IdempotencyContext, result: ReadResult) =
        IdempotencyEvent.RecordRead(context.request, context.storeCallId, result)

    private fun contextOf(action: IdempotencyAction.Store) = IdempotencyContext(
        action.request,
        action.storeCallId,
        isRead = action is IdempotencyAction.ReadBack,
    )

    private fun write(
        action: IdempotencyAction.Store,
        record: CallRecord,
        condition: Condition,
    ): PlatformEvent.Call {
        val row = RowWrite(
            CallRecordCodec.rowKeyOf(action.key),
            condition,
            CallRecordCodec.encode(action.key, record),
            expiresAfter = retention,
        )
        return PlatformEvent.Write(contextOf(action), WriteGroup.of(row), action.deadline)
    }

    public companion object {
        /** The default time for which the platform keeps a record. */
        public val RETENTION: Duration = 72.hours
    }
}
