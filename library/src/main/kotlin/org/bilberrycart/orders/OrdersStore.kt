package org.bilberrycart.orders

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.json.Json
import org.bilberrycart.store.Condition
import org.bilberrycart.store.PlatformEvent
import org.bilberrycart.store.Row
import org.bilberrycart.store.RowKey
import org.bilberrycart.store.RowWrite
import org.bilberrycart.store.StoreContext
import org.bilberrycart.store.StoreResult
import org.bilberrycart.store.WriteGroup

/** Identifies a store call of the orders duty by the progress [written]; null for a read. */
public data class OrdersContext(val written: OrdersProgress?) : StoreContext

/** Translates between the orders duty and the row that stores maintenance progress as JSON. */
public object OrdersStore {
    private val CALL_TIMEOUT = 2.seconds
    private val key = RowKey("orders", "progress")
    private val json = Json { ignoreUnknownKeys = true }

    /** Returns the call to the platform duty that carries out [action]; null if it needs none. */
    public fun toCall(action: OrdersAction, now: Duration): PlatformEvent.Call? = when (action) {
        OrdersAction.ReadProgress ->
            PlatformEvent.Read(OrdersContext(written = null), key, now + CALL_TIMEOUT)
        is OrdersAction.WriteProgress -> write(action, now)
        is OrdersAction.ReadState, is OrdersAction.Send, is OrdersAction.Superseded -> null
    }

    /** Returns the event that reports [result] to the orders duty. */
    public fun toEvent(context: OrdersContext, result: StoreResult): OrdersEvent {
        val written = context.written
        return when {
            result is StoreResult.Applied && written != null ->
                OrdersEvent.ProgressRead(StoredProgress(written, result.version))
            result is StoreResult.Found -> OrdersEvent.ProgressRead(decode(result.row))
            else -> OrdersEvent.ProgressFailed
        }
    }

    private fun write(action: OrdersAction.WriteProgress, now: Duration): PlatformEvent.Call {
        val condition = when (action.expected) {
            0L -> Condition.Absent
            else -> Condition.VersionIs(action.expected)
        }
        val row = RowWrite(key, condition, json.encodeToString(action.progress))
        val context = OrdersContext(action.progress)
        return PlatformEvent.Write(context, WriteGroup.of(row), now + CALL_TIMEOUT)
    }

    private fun decode(row: Row?): StoredProgress = when (row) {
        null -> StoredProgress(OrdersProgress(), version = 0)
        else -> StoredProgress(json.decodeFromString(row.value), row.version)
    }
}
