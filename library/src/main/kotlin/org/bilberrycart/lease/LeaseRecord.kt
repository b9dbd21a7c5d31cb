package org.bilberrycart.lease

import kotlinx.serialization.Serializable
import org.bilberrycart.model.VmId

/**
 * The lease as it is stored in the platform's table.
 *
 * @property holder the node that took the lease last.
 * @property fencing the fencing number, which increases by one each time a node takes the lease and
 *   is sent with each order.
 * @property instance identifies one start of the holder.
 * @property renewal identifies a write among those of one instance.
 * @property isReleased whether the holder gave the lease up.
 */
@Serializable
public data class LeaseRecord(
    val holder: VmId,
    val fencing: Long,
    val instance: String,
    val renewal: Long,
    val isReleased: Boolean = false,
)

/** A [record] with the [version] of its row. */
public data class StoredLease(val record: LeaseRecord, val version: Long)
