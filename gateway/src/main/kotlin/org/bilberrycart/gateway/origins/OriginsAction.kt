package org.bilberrycart.gateway.origins

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import org.bilberrycart.gateway.model.CallKey
import org.bilberrycart.gateway.model.ServiceName
import org.bilberrycart.gateway.model.StreamOrigin
import org.bilberrycart.gateway.records.Record

/** The actions that the origins filter requests. */
public sealed class OriginsAction {
    /**
     * Reads, in the call with number [call], a page of the records from key [from] or, if that is
     * null, from the start.
     */
    public data class Read(val call: Long, val from: String?) : OriginsAction()

    /** Writes [puts], in the call with number [call], and removes the keys [removals]. */
    public data class Write(val call: Long, val puts: List<Record>, val removals: List<String>) :
        OriginsAction()

    /** Tells placement where the stream that [call] resumes may go on; null if nobody knows. */
    public data class Found(val call: CallKey, val origin: StreamOrigin?) : OriginsAction()

    /**
     * Tells placement at which version the streams of a service shall begin while they can't be
     * recorded; the streams of all other services may begin at any version.
     *
     * @property recordedUntil streams that were sent until then are recorded.
     */
    public data class BeginOnlyAt(
        val versions: PersistentMap<ServiceName, String>,
        val recordedUntil: Duration,
    ) : OriginsAction()

    /** Reports that nodes begin, or cease, to record where streams begin. */
    public data class RecordingChanged(val isRecording: Boolean) : OriginsAction()
}
