package org.bilberrycart.idempotency

import kotlinx.serialization.Serializable
import org.bilberrycart.model.Fingerprint

/**
 * The record of one call in the platform's table.
 *
 * @property operation the operation that the call requests.
 * @property fingerprint a digest of the call; a repeat must have the same one.
 * @property budgetMillis how long after the insert the owner may still send the call, in
 *   milliseconds.
 */
@Serializable
public data class CallRecord(
    val owner: CallOwner,
    val operation: String,
    val fingerprint: Fingerprint,
    val budgetMillis: Long,
    val progress: Progress = Progress.Pending,
)

/** A call [record] read from the table, with the [version] of its row. */
public data class StoredRecord(val record: CallRecord, val version: Long)
