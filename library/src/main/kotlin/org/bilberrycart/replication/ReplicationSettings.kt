package org.bilberrycart.replication

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.model.ServiceId

/**
 * The timing and bounds of replication.
 *
 * @property policies the policy of each service; [defaultPolicy] for the others.
 * @property flushDelay the least time between two batches of one shard; the first goes at once.
 * @property batchTokens unsent tokens of one generation that are sent without waiting.
 * @property retransmit how long a batch may stay unacknowledged before it is sent again.
 * @property ackTimeout how long a holder may stay silent before the owner moves on.
 * @property yieldTimeout how long an owner may take to yield before the table decides.
 * @property decideRetry time between two attempts to reach the table.
 * @property grace how long a finished generation can still be read.
 * @property orphanRetention how long a replica outlives the silence of its owner.
 * @property markRetention how long the end of an agreement is remembered; longer than any message
 *   may be late.
 * @property sweepPeriod time between two checks of all time limits.
 */
public data class ReplicationSettings(
    val policies: Map<ServiceId, ReplicationPolicy> = emptyMap(),
    val defaultPolicy: ReplicationPolicy = ReplicationPolicy.Preferred,
    val flushDelay: Duration = 2.milliseconds,
    val batchTokens: Int = 64,
    val retransmit: Duration = 200.milliseconds,
    val ackTimeout: Duration = 1.seconds,
    val yieldTimeout: Duration = 300.milliseconds,
    val decideRetry: Duration = 500.milliseconds,
    val grace: Duration = 60.seconds,
    val orphanRetention: Duration = 10.minutes,
    val markRetention: Duration = 15.minutes,
    val sweepPeriod: Duration = 50.milliseconds,
) {
    /** Returns the policy of [service]. */
    public fun policyOf(service: ServiceId): ReplicationPolicy = policies[service] ?: defaultPolicy
}
