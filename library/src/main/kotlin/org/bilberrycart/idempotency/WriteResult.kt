package org.bilberrycart.idempotency

/** The result of a conditional write of a call record. */
public sealed class WriteResult {
    /** The record was written, and its row now has [version]. */
    public data class Written(val version: Long) : WriteResult()

    /** The condition does not hold; the table has [stored], or no record if null. */
    public data class Conflict(val stored: StoredRecord?) : WriteResult()

    /** The write had no effect and never will. */
    public data object Refused : WriteResult()

    /** The write may have taken effect, or may still do so later. */
    public data object Unknown : WriteResult()
}
