package org.bilberrycart.idempotency

import kotlin.random.Random
import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.model.RequestId
import org.bilberrycart.store.RetryBudget

/**
 * The state of the idempotency duty.
 *
 * @property instance unique for each start of each node; owners of records are made of it.
 * @property limits how many calls, and how long.
 * @property running the call that holds a record key on this node.
 * @property sightings when this node first saw another owner's pending record.
 */
public data class IdempotencyState(
    val instance: String,
    val limits: IdempotencyLimits = IdempotencyLimits(),
    val calls: PersistentMap<RequestId, CallState> = persistentMapOf(),
    val running: PersistentMap<RecordKey, RequestId> = persistentMapOf(),
    val sightings: PersistentMap<CallOwner, Duration> = persistentMapOf(),
    val retries: RetryBudget = RetryBudget(),
    val counters: IdempotencyCounters = IdempotencyCounters(),
    val nextOperation: Long = 1,
    val seed: Long = 0,
) {
    /** Returns a number from 0 to 1 that depends on the seed and the next operation only. */
    internal fun spread(): Double = Random(seed xor nextOperation).nextDouble()

    internal fun with(call: CallState): IdempotencyState =
        copy(calls = calls.put(call.call.id, call))

    internal fun without(call: CallState): IdempotencyState {
        val key = call.recordKey
        val isHolder = key != null && running[key] == call.call.id
        return copy(
            calls = calls.remove(call.call.id),
            running = if (key != null && isHolder) running.remove(key) else running,
        )
    }

    internal fun count(change: IdempotencyCounters.() -> IdempotencyCounters): IdempotencyState =
        copy(counters = counters.change())
}
