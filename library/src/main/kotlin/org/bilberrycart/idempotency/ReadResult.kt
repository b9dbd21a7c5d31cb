package org.bilberrycart.idempotency

/** What a read of a record brought; it may be an answer from the past. */
public sealed class ReadResult {
    /** The table has [stored]; null if it has no such record. */
    public data class Found(val stored: StoredRecord?) : ReadResult()

    /** No answer. */
    public data object Failed : ReadResult()
}
