package org.bilberrycart.gateway.crashes

import org.bilberrycart.gateway.model.KnownCrashes
import org.bilberrycart.gateway.records.RecordReply

/** The inputs of the crash records filter. */
public sealed class CrashRecordsEvent {
    /**
     * The periodic timer fired.
     *
     * @property known what this node has seen.
     * @property isPeerMissing whether a node that was known is not heard, which may see crashes.
     */
    public data class Tick(val known: KnownCrashes, val isPeerMissing: Boolean) :
        CrashRecordsEvent()

    /** The call with number [call] to the store, a read, ended with [reply]. */
    public data class ReadReplied(val call: Long, val reply: RecordReply) : CrashRecordsEvent()

    /** The call with number [call] to the store, a write, ended with [reply]. */
    public data class WriteReplied(val call: Long, val reply: RecordReply) : CrashRecordsEvent()
}
