package org.bilberrycart.lease

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.model.VmId

/**
 * The state of the lease duty.
 *
 * @property instance unique for each start of this node.
 * @property seen the newest row seen, and [seenAt] when its version was first seen here.
 * @property holding what this node holds; null if it holds nothing.
 * @property pending the write on its way and when it was sent.
 * @property operation the number of the store call whose result is awaited; 0 for none.
 */
public data class LeaseState(
    val self: VmId,
    val instance: String,
    val timing: LeaseTiming = LeaseTiming(),
    val isEligible: Boolean = true,
    val isLeaving: Boolean = false,
    val seen: StoredLease? = null,
    val seenAt: Duration = Duration.ZERO,
    val holding: Holding? = null,
    val pending: PendingWrite? = null,
    val operation: Long = 0,
    val nextOperation: Long = 1,
    val nextAt: Duration = Duration.ZERO,
    val seed: Long = 0,
) {
    /** Returns a number from 0 to 1 that depends on the seed and the next operation only. */
    internal fun spread(): Double = Random(seed xor nextOperation).nextDouble()
}

/** A held lease: its row, and until when it counts by this node's clock. */
public data class Holding(val record: LeaseRecord, val version: Long, val validUntil: Duration)

/** A write of [record] that was sent at [sentAt]. */
public data class PendingWrite(val record: LeaseRecord, val sentAt: Duration)

/**
 * The timing of the lease.
 *
 * @property length how long others wait for an unchanged row before they take the lease.
 * @property margin how much earlier its holder stops.
 * @property interval the time between two renewals, or two reads of a candidate.
 */
public data class LeaseTiming(
    val length: Duration = 9.seconds,
    val margin: Duration = 2.seconds,
    val interval: Duration = 2.seconds,
)
