package org.bilberrycart.store

import kotlin.random.Random
import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/**
 * The state of the platform duty.
 *
 * @property writes write calls that wait to be sent.
 * @property reads reads and scans that wait to be sent.
 * @property inFlight requests sent and not yet answered, by their numbers.
 * @property nextId the number of the next request.
 * @property seed the seed of the random part of waiting times.
 */
public data class PlatformState(
    val limits: PlatformLimits = PlatformLimits(),
    val writes: PersistentList<PendingCall> = persistentListOf(),
    val reads: PersistentList<PendingCall> = persistentListOf(),
    val inFlight: PersistentMap<Long, Exchange> = persistentMapOf(),
    val breaker: CircuitBreaker = CircuitBreaker.Closed(),
    val retryBudget: StoreRetryBudget = StoreRetryBudget(),
    val writeLimiter: StoreRateLimiter =
        StoreRateLimiter(limits.transactionsPerSecond, burst = 2.0),
    val readLimiter: StoreRateLimiter =
        StoreRateLimiter(limits.readsPerSecond, burst = maxOf(READ_BURST, limits.readsPerSecond)),
    val counters: PlatformCounters = PlatformCounters(),
    val nextId: Long = 1,
    val seed: Long = 0,
) {
    /** The number of transactions sent and not yet answered. */
    public val transactionsInFlight: Int
        get() = inFlight.values.count { it is Exchange.Transaction }

    /** Returns a random number from 0 to 1 that depends only on [seed] and [nextId]. */
    internal fun jitter(): Double = Random(seed xor nextId).nextDouble()

    private companion object {
        const val READ_BURST = 20.0
    }
}

/**
 * A call that waits to be sent or to be answered.
 *
 * @property notBefore the earliest time at which the call may be sent.
 * @property attempts how often the call was sent.
 */
public data class PendingCall(
    val call: PlatformEvent.Call,
    val notBefore: Duration = Duration.ZERO,
    val attempts: Int = 0,
)

/** A request sent to the platform and not yet answered. */
public sealed class Exchange {
    /** A transaction that carries all of [calls], each of which is a write. */
    public data class Transaction(val calls: PersistentList<PendingCall>) : Exchange()

    /** A request for the single read or scan [call]. */
    public data class Read(val call: PendingCall) : Exchange()
}
