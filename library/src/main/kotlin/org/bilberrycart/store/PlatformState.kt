package org.bilberrycart.store

import kotlin.random.Random
import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/** The state of the platform duty. */
public data class PlatformState(
    val limits: PlatformLimits = PlatformLimits(),
    val writes: PersistentList<PendingCall> = persistentListOf(),
    val reads: PersistentList<PendingCall> = persistentListOf(),
    val inFlight: PersistentMap<Long, Exchange> = persistentMapOf(),
    val breaker: CircuitBreaker = CircuitBreaker.Closed(),
    val retries: RetryBudget = RetryBudget(),
    val writeBucket: TokenBucket = TokenBucket(limits.transactionsPerSecond, burst = 2.0),
    val readBucket: TokenBucket =
        TokenBucket(limits.readsPerSecond, burst = maxOf(READ_BURST, limits.readsPerSecond)),
    val counters: PlatformCounters = PlatformCounters(),
    val nextId: Long = 1,
    val seed: Long = 0,
) {
    /** Transactions sent and not yet answered. */
    public val transactionsInFlight: Int
        get() = inFlight.values.count { it is Exchange.Transaction }

    /** Returns a number from 0 to 1 that depends on the seed and the next exchange only. */
    internal fun spread(): Double = Random(seed xor nextId).nextDouble()

    private companion object {
        const val READ_BURST = 20.0
    }
}

/**
 * A call that waits for its turn.
 *
 * @property notBefore when a retry may be sent at the earliest.
 * @property tries how often it was sent.
 */
public data class PendingCall(
    val call: PlatformEvent.Call,
    val notBefore: Duration = Duration.ZERO,
    val tries: Int = 0,
)

/** A request sent to the platform and not yet answered. */
public sealed class Exchange {
    /** [calls] share one transaction. */
    public data class Transaction(val calls: PersistentList<PendingCall>) : Exchange()

    /** One read or scan. */
    public data class Read(val call: PendingCall) : Exchange()
}
