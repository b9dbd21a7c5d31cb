package org.bilberrycart.suspect

import kotlin.time.Duration
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.AttemptOutcome
import org.bilberrycart.model.Fingerprint
import org.bilberrycart.model.Placement
import org.bilberrycart.model.UpstreamId

/** What the suspect duty reacts to. */
public sealed class SuspectEvent {
    /** [placement] is on its way to routing. */
    public data class Place(val placement: Placement) : SuspectEvent()

    /** An attempt on [upstream] is over. */
    public data class AttemptEnded(
        val attempt: AttemptId,
        val upstream: UpstreamId,
        val outcome: AttemptOutcome,
    ) : SuspectEvent()

    /** [attempt] will not run: it was withdrawn or found no upstream. */
    public data class NotPlaced(val attempt: AttemptId) : SuspectEvent()

    /** [upstream] gave notice that it leaves; its end is no sign against the work it runs. */
    public data class Leaving(val upstream: UpstreamId) : SuspectEvent()

    /** [upstream] answers again after it died. */
    public data class Returned(val upstream: UpstreamId) : SuspectEvent()

    /** Another node knows that [fingerprint] was on [deaths] upstreams, for [lifetime] more. */
    public data class SuspectHeard(
        val fingerprint: Fingerprint,
        val deaths: Int,
        val lifetime: Duration,
    ) : SuspectEvent()

    /** Time has passed. */
    public data object Tick : SuspectEvent()
}
