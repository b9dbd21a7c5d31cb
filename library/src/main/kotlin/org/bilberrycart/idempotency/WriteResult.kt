package org.bilberrycart.idempotency

/** What became of a conditional write of a record. */
public sealed class WriteResult {
    /** The record is written in [version]. */
    public data class Written(val version: Long) : WriteResult()

    /** The condition does not hold; [stored] is what the table has. */
    public data class Conflict(val stored: StoredRecord?) : WriteResult()

    /** The write had no effect and will have none. */
    public data object Refused : WriteResult()

    /** The write may have its effect, now or later. */
    public data object Unknown : WriteResult()
}
