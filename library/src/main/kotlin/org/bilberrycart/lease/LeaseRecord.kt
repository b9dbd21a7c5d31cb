package org.bilberrycart.lease

import kotlinx.serialization.Serializable
import org.bilberrycart.model.VmId

/**
 * What the platform's table holds of the lease.
 *
 * @property holder who took it last.
 * @property fencing rises by one each time the lease changes hands; orders carry it.
 * @property instance unique for each start of the holder.
 * @property renewal different for each write of one instance.
 * @property isReleased whether the holder gave it up.
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
