package org.bilberrycart.idempotency

/** The result of reading a call record, which may be out of date. */
public sealed class ReadResult {
    /** The table has the record [stored], or no such record if null. */
    public data class Found(val stored: StoredRecord?) : ReadResult()

    /** The table did not answer. */
    public data object Failed : ReadResult()
}
