package org.bilberrycart.idempotency

import kotlin.time.Duration
import org.bilberrycart.model.ResultCode

/** What a service call is waiting for. */
public sealed class CallPhase {
    /** Waiting until its record is written as [intent] requires. */
    public data class Recording(val intent: RecordIntent, val stage: RecordStage) : CallPhase()

    /** Waiting for the answer of the service. */
    public data object Dispatched : CallPhase()

    /** Waiting for its next attempt, which is due [at] this time of the node's clock. */
    public data class RetryDue(val at: Duration) : CallPhase()
}

/** The reason for writing a call record. */
public sealed class RecordIntent {
    /**
     * Reserves the key before the first dispatch.
     *
     * @property expected the version of the closed record to replace; null to insert a new row.
     */
    public data class Insert(val expected: Long? = null) : RecordIntent()

    /** Marks as not run a call that was given up, because of [reason], before any byte was sent. */
    public data class Close(val reason: ResultCode) : RecordIntent()

    /** Stores the outcome [progress] for repeats of the call; retried until [until]. */
    public data class Store(val progress: Progress, val until: Duration) : RecordIntent()
}

/** The current step in writing a call record. */
public enum class RecordStage {
    /** The write was sent and has no result yet. */
    WRITING,

    /** The outcome of the write is unknown, and the record is being read back. */
    READING,

    /** The write is repeated at the first tick after its delay. */
    WRITE_DUE,

    /** The read is repeated at the first tick after its delay. */
    READ_DUE,
}
