package org.bilberrycart.replication

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.bilberrycart.platform.Condition
import org.bilberrycart.platform.PlatformEvent
import org.bilberrycart.platform.Row
import org.bilberrycart.platform.RowKey
import org.bilberrycart.platform.RowWrite
import org.bilberrycart.platform.StoreContext
import org.bilberrycart.platform.StoreResult
import org.bilberrycart.platform.WriteGroup

/** Brings the result of a [ReplicationAction.Decide] back to the shard of [key]. */
public data class VerdictContext(val key: ReplicaKey, val verdict: Verdict) : StoreContext

/**
 * Joins the replication shards to the platform duty.
 *
 * @property retention how long the platform keeps a verdict; longer than any replica lives.
 * @property timeout how long a shard waits for the table before it asks again.
 */
public class VerdictStore(
    private val retention: Duration = 24.hours,
    private val timeout: Duration = 1.seconds,
) {
    /** Returns the call of the platform duty that carries out [action] at the time [now]. */
    public fun toCall(action: ReplicationAction.Decide, now: Duration): PlatformEvent.Call {
        val row = RowWrite(
            rowKeyOf(action.key),
            Condition.Absent,
            Json.encodeToString(Verdict.serializer(), action.verdict),
            expiresAfter = retention,
        )
        val context = VerdictContext(action.key, action.verdict)
        return PlatformEvent.Write(context, WriteGroup.of(row), now + timeout)
    }

    /** Returns the event that brings [result] back to the shard. */
    public fun toEvent(context: VerdictContext, result: StoreResult): ReplicationEvent =
        when (result) {
            is StoreResult.Applied -> ReplicationEvent.Decided(context.key, context.verdict)
            is StoreResult.Conflict -> conflict(context, result.row)
            is StoreResult.Unavailable,
            is StoreResult.UnknownOutcome,
            is StoreResult.Found,
            is StoreResult.Listed,
            -> ReplicationEvent.DecisionFailed(context.key)
        }

    private fun conflict(context: VerdictContext, row: Row?): ReplicationEvent {
        val kept = try {
            row?.let { Json.decodeFromString(Verdict.serializer(), it.value) }
        } catch (e: SerializationException) {
            null
        }
        return when (kept) {
            null -> ReplicationEvent.DecisionFailed(context.key)
            else -> ReplicationEvent.Decided(context.key, kept)
        }
    }

    private fun rowKeyOf(key: ReplicaKey) =
        RowKey("generations", "${key.request}/${key.epoch}/${key.term}")
}
