package org.bilberrycart.lease

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

/** Identifies the store call of the lease duty that a result belongs to. */
public data class LeaseContext(val operation: Long) : StoreContext

/** Translates between the lease duty and the row that stores the lease for control as JSON. */
public object LeaseStore {
    private val CALL_TIMEOUT = 2.seconds
    private val json = Json { ignoreUnknownKeys = true }

    /** The key of the row that stores the lease. */
    public val key: RowKey = RowKey("leases", "control")

    /** Returns the call to the platform duty that carries out [action]; null if it needs none. */
    public fun toCall(action: LeaseAction, now: Duration): PlatformEvent.Call? = when (action) {
        is LeaseAction.Read ->
            PlatformEvent.Read(LeaseContext(action.operation), key, now + CALL_TIMEOUT)
        is LeaseAction.Write -> PlatformEvent.Write(
            LeaseContext(action.operation),
            WriteGroup.of(
                RowWrite(
                    key,
                    action.expected?.let(Condition::VersionIs) ?: Condition.Absent,
                    json.encodeToString(action.record),
                ),
            ),
            now + CALL_TIMEOUT,
        )
        is LeaseAction.Held, is LeaseAction.Lost -> null
    }

    /** Returns the event that reports [result] to the lease duty. */
    public fun toEvent(context: LeaseContext, result: StoreResult): LeaseEvent {
        val operation = context.operation
        return when (result) {
            is StoreResult.Applied -> LeaseEvent.Written(operation, result.version)
            is StoreResult.Conflict -> LeaseEvent.Conflict(operation, result.row?.let(::decode))
            is StoreResult.Found -> LeaseEvent.Read(operation, result.row?.let(::decode))
            is StoreResult.Unavailable -> LeaseEvent.Failed(operation, mayHaveApplied = false)
            is StoreResult.UnknownOutcome -> LeaseEvent.Failed(operation, mayHaveApplied = true)
            is StoreResult.Listed -> LeaseEvent.Failed(operation, mayHaveApplied = false)
        }
    }

    private fun decode(row: Row): StoredLease =
        StoredLease(json.decodeFromString<LeaseRecord>(row.value), row.version)
}
