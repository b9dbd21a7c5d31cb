package org.bilberrycart.replication

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.model.ServiceId

/**
 * The settings of replication.
 *
 * @property policies the policies of single services.
 * @property defaultPolicy the policy of all other services.
 * @property flushDelay the least time between two batches of one shard; after a pause, a batch is
 *   sent at once.
 * @property batchTokens how many unsent tokens of one generation are sent without this delay.
 * @property retransmitDelay how long a batch may stay unconfirmed before it is sent again.
 * @property ackTimeout how long a holder may confirm nothing before the owner replaces it.
 * @property yieldTimeout how long an owner may take to yield before the table decides.
 * @property decisionRetryDelay the time between two attempts to get a decision of the table.
 * @property endedRetention how long a finished generation and its replica are kept for reading.
 * @property orphanRetention how long an unfinished replica is kept without a message of its owner.
 * @property tombstoneRetention how long the end of an agreement is recorded; longer than any
 *   message may be delayed.
 * @property sweepPeriod the time between two checks of the time limits.
 */
public data class ReplicationSettings(
    val policies: Map<ServiceId, ReplicationPolicy> = emptyMap(),
    val defaultPolicy: ReplicationPolicy = ReplicationPolicy.Preferred,
    val flushDelay: Duration = 2.milliseconds,
    val batchTokens: Int = 64,
    val retransmitDelay: Duration = 200.milliseconds,
    val ackTimeout: Duration = 1.seconds,
    val yieldTimeout: Duration = 300.milliseconds,
    val decisionRetryDelay: Duration = 500.milliseconds,
    val endedRetention: Duration = 60.seconds,
    val orphanRetention: Duration = 10.minutes,
    val tombstoneRetention: Duration = 15.minutes,
    val sweepPeriod: Duration = 50.milliseconds,
) {
    /** Returns the policy of [service]. */
    public fun policyOf(service: ServiceId): ReplicationPolicy = policies[service] ?: defaultPolicy
}
