package org.bilberrycart.idempotency

import kotlinx.serialization.Serializable
import org.bilberrycart.model.Fingerprint

/**
 * What the platform's table holds of one call.
 *
 * @property operation the operation that the call asked for.
 * @property fingerprint of the call; a repeat must have the same one.
 * @property budgetMillis the longest time after the insert in which the owner may still send it.
 */
@Serializable
public data class CallRecord(
    val owner: CallOwner,
    val operation: String,
    val fingerprint: Fingerprint,
    val budgetMillis: Long,
    val progress: Progress = Progress.Pending,
)

/** A [record] with the [version] of its row. */
public data class StoredRecord(val record: CallRecord, val version: Long)
