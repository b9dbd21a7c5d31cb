package org.bilberrycart.replication

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.json.Json
import org.bilberrycart.store.Condition
import org.bilberrycart.store.PlatformEvent
import org.bilberrycart.store.RowKey
import org.bilberrycart.store.RowWrite
import org.bilberrycart.store.StoreContext
import org.bilberrycart.store.StoreResult
import org.bilberrycart.store.WriteGroup

/**
 * Translates between replication shards and the platform duty, whose table keeps the first verdict
 * for each key.
 *
 * @property timeout how long the write of one verdict may take.
 * @property retention how long the platform keeps a verdict.
 */
public class VerdictStore(
    private val timeout: Duration = 700.milliseconds,
    private val retention: Duration = 1.hours,
) {
    private val json = Json

    /** Identifies the decision that a result of the table belongs to. */
    public data class Context(val key: ReplicaKey, val verdict: Verdict) : StoreContext

    /** Returns the call to the platform duty that carries out [action], which begins at [now]. */
    public fun toCall(action: ReplicationAction.Decide, now: Duration): PlatformEvent.Call {
        val write = RowWrite(
            key = rowKey(action.key),
            condition = Condition.Absent,
            value = json.encodeToString(Verdict.serializer(), action.verdict),
            expiresAfter = retention,
        )
        val context = Context(action.key, action.verdict)
        return PlatformEvent.Write(context, WriteGroup.of(write), deadline = now + timeout)
    }

    /** Returns the event that reports [result] to the shard. */
    public fun toEvent(context: Context, result: StoreResult): ReplicationEvent = when (result) {
        is StoreResult.Applied -> ReplicationEvent.Decided(context.key, context.verdict)
        is StoreResult.Conflict -> kept(context.key, result.row?.value)
        is StoreResult.Found -> kept(context.key, result.row?.value)
        is StoreResult.Listed,
        is StoreResult.Unavailable,
        is StoreResult.UnknownOutcome,
        -> ReplicationEvent.DecisionFailed(context.key)
    }

    private fun kept(key: ReplicaKey, value: String?): ReplicationEvent {
        val verdict = value?.let {
            runCatching { json.decodeFromString(Verdict.serializer(), it) }.getOrNull()
        }
        return verdict?.let { ReplicationEvent.Decided(key, it) }
            ?: ReplicationEvent.DecisionFailed(key)
    }

    private fun rowKey(key: ReplicaKey) =
        RowKey("verdicts", "${key.request}.${key.epoch}.${key.term}")
}
