package org.bilberrycart.lease

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.model.VmId

/**
 * The state of the lease duty.
 *
 * @property instance identifies this start of the node.
 * @property isEligible whether membership allows this node to take the lease.
 * @property newestLease the newest version of the row that this node has seen.
 * @property newestLeaseSeenAt when this node first saw that version.
 * @property ownLease the lease that this node holds; null if it holds none.
 * @property pendingWrite a write whose outcome is not known yet.
 * @property awaited the number of the store call whose result is awaited; 0 for none.
 * @property nextOperation the number of the next store call.
 * @property nextActionAt when the lease is next renewed or read.
 * @property seed the seed of the random part of waiting times.
 */
public data class LeaseState(
    val self: VmId,
    val instance: String,
    val timing: LeaseTiming = LeaseTiming(),
    val isEligible: Boolean = true,
    val isLeaving: Boolean = false,
    val newestLease: StoredLease? = null,
    val newestLeaseSeenAt: Duration = Duration.ZERO,
    val ownLease: OwnLease? = null,
    val pendingWrite: PendingWrite? = null,
    val awaited: Long = 0,
    val nextOperation: Long = 1,
    val nextActionAt: Duration = Duration.ZERO,
    val seed: Long = 0,
) {
    /** Returns a random number from 0 to 1 that depends only on [seed] and [nextOperation]. */
    internal fun jitter(): Double = Random(seed xor nextOperation).nextDouble()
}

/** The lease as this node holds it: its row, and the end of its validity by the node's clock. */
public data class OwnLease(val record: LeaseRecord, val version: Long, val validUntil: Duration)

/** A write of [record] that was sent at [sentAt]. */
public data class PendingWrite(val record: LeaseRecord, val sentAt: Duration)

/**
 * The intervals and timeouts of the lease.
 *
 * @property duration how long other nodes see an unchanged row before they may take the lease.
 * @property safetyMargin how much earlier the holder stops using the lease.
 * @property renewalInterval the longest time between two renewals, or between two reads of a
 *   candidate; the shortest is half of it.
 */
public data class LeaseTiming(
    val duration: Duration = 9.seconds,
    val safetyMargin: Duration = 2.seconds,
    val renewalInterval: Duration = 2.seconds,
)
