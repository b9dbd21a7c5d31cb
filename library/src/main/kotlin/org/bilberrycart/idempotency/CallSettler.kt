package org.bilberrycart.idempotency

import org.bilberrycart.store.BlockingTable
import org.bilberrycart.store.Condition
import org.bilberrycart.store.RowWrite
import org.bilberrycart.store.StoreResult
import org.bilberrycart.store.TableClient
import org.bilberrycart.store.WriteGroup

/**
 * Reads and settles call records for an operator.
 *
 * Its functions block until the table answers, so a node's duties must not use it.
 */
public class CallSettler(table: TableClient) {
    private val rows = BlockingTable(table)

    /** Reads the record of [key]. */
    public fun read(key: RecordKey): ReadResult =
        when (val result = rows.read(CallRecordCodec.rowKeyOf(key))) {
            is StoreResult.Found -> ReadResult.Found(result.row?.let(CallRecordCodec::decode))
            else -> ReadResult.Failed
        }

    /** Writes [progress] as the outcome of the call of [key], if its record is still [stored]. */
    public fun settle(key: RecordKey, stored: StoredRecord, progress: Progress): WriteResult {
        val settled = stored.record.copy(progress = progress)
        val write = RowWrite(
            CallRecordCodec.rowKeyOf(key),
            Condition.VersionIs(stored.version),
            CallRecordCodec.encode(key, settled),
            expiresAfter = IdempotencyStore.RETENTION,
        )
        return when (val result = rows.write(WriteGroup.of(write))) {
            is StoreResult.Applied -> WriteResult.Written(result.version)
            is StoreResult.Conflict ->
                WriteResult.Conflict(result.row?.let(CallRecordCodec::decode))
            is StoreResult.UnknownOutcome -> WriteResult.Unknown
            else -> WriteResult.Refused
        }
    }
}
