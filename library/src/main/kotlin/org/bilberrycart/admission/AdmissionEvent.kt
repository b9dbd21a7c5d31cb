package org.bilberrycart.admission

import org.bilberrycart.model.Request
import org.bilberrycart.model.RequestId

/** What the admission duty reacts to. */
public sealed class AdmissionEvent {
    /** A caller sent [request]. */
    public data class Arrived(val request: Request) : AdmissionEvent()

    /** The answer of [request] is over, in whatever way. */
    public data class Ended(val request: RequestId) : AdmissionEvent()

    /** The node leaves: no new work. */
    public data object Drain : AdmissionEvent()

    /** Time has passed. */
    public data object Tick : AdmissionEvent()
}
