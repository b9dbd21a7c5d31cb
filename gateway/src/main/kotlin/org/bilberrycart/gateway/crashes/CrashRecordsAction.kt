package org.bilberrycart.gateway.crashes

import org.bilberrycart.gateway.model.KnownCrashes
import org.bilberrycart.gateway.records.Record

/** The actions that the crash records filter requests. */
public sealed class CrashRecordsAction {
    /** Reads, in the call with number [call], a page of the records from key [from]. */
    public data class Read(val call: Long, val from: String?) : CrashRecordsAction()

    /** Writes [record], in the call with number [call], and removes the keys [removals]. */
    public data class Write(val call: Long, val record: Record, val removals: List<String>) :
        CrashRecordsAction()

    /** Tells placement what other processes have recorded. */
    public data class Found(val known: List<KnownCrashes>) : CrashRecordsAction()
}
