package org.bilberrycart.idempotency

import kotlin.random.Random
import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.model.RequestId
import org.bilberrycart.store.StoreRetryBudget

/**
 * The state of the idempotency duty.
 *
 * @property instance unique for each start of each node; the first part of each [CallOwner].
 * @property calls the calls in progress.
 * @property runningByKey the call in progress for each record key.
 * @property sightings when this node first saw the pending record of another owner.
 * @property retryBudget limits retries in proportion to the calls that may be repeated.
 * @property nextStoreCallId the number of the next store call, also the second part of a
 *   [CallOwner].
 */
public data class IdempotencyState(
    val instance: String,
    val limits: IdempotencyLimits = IdempotencyLimits(),
    val calls: PersistentMap<RequestId, ServiceCallState> = persistentMapOf(),
    val runningByKey: PersistentMap<RecordKey, RequestId> = persistentMapOf(),
    val sightings: PersistentMap<CallOwner, Duration> = persistentMapOf(),
    val retryBudget: StoreRetryBudget = StoreRetryBudget(),
    val counters: IdempotencyCounters = IdempotencyCounters(),
    val nextStoreCallId: Long = 1,
    val seed: Long = 0,
) {
    /** Returns a number in [0, 1) that depends only on [seed] and [nextStoreCallId]. */
    internal fun jitter(): Double = Random(seed xor nextStoreCallId).nextDouble()

    internal fun with(call: ServiceCallState): IdempotencyState =
        copy(calls = calls.put(call.serviceCall.id, call))

    internal fun without(call: ServiceCallState): IdempotencyState {
        val key = call.recordKey
        val holdsKey = key != null && runningByKey[key] == call.serviceCall.id
        return copy(
            calls = calls.remove(call.serviceCall.id),
            runningByKey = if (key != null && holdsKey) runningByKey.remove(key) else runningByKey,
        )
    }

    internal fun count(change: IdempotencyCounters.() -> IdempotencyCounters): IdempotencyState =
        copy(counters = counters.change())
}
