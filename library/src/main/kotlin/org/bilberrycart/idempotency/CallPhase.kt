package org.bilberrycart.idempotency

import kotlin.time.Duration
import org.bilberrycart.model.ResultCode

/** What a call waits for. */
public sealed class CallPhase {
    /** For its record, because of [intent]. */
    public data class Recording(val intent: RecordIntent, val stage: RecordStage) : CallPhase()

    /** For the answer of the service. */
    public data object Dispatched : CallPhase()

    /** For the next attempt. */
    public data class RetryDue(val at: Duration) : CallPhase()
}

/** Why a record is written. */
public sealed class RecordIntent {
    /** Before the first dispatch; [expected] is the version of a closed record to take over. */
    public data class Insert(val expected: Long? = null) : RecordIntent()

    /** The call was given up before a byte of it was sent, because of [reason]. */
    public data class Close(val reason: ResultCode) : RecordIntent()

    /** The outcome [progress] is kept for repeats, with tries until [until]. */
    public data class Store(val progress: Progress, val until: Duration) : RecordIntent()
}

/** How far the writing of a record is. */
public enum class RecordStage {
    /** The write is on its way. */
    WRITING,

    /** The write has an unknown outcome and the record is read back. */
    READING,

    /** The next write waits for a tick. */
    WRITE_DUE,

    /** The next read waits for a tick. */
    READ_DUE,
}
