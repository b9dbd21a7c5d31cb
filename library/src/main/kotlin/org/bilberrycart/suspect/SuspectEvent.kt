package org.bilberrycart.suspect

import kotlin.time.Duration
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.AttemptOutcome
import org.bilberrycart.model.Fingerprint
import org.bilberrycart.model.Placement
import org.bilberrycart.model.UpstreamId

/** An event that the suspect duty handles. */
public sealed class SuspectEvent {
    /** [placement] is to be checked before it goes to routing. */
    public data class Place(val placement: Placement) : SuspectEvent()

    /** [attempt] on [upstream] ended with [outcome]. */
    public data class AttemptEnded(
        val attempt: AttemptId,
        val upstream: UpstreamId,
        val outcome: AttemptOutcome,
    ) : SuspectEvent()

    /** [attempt] will not run: it was withdrawn or found no upstream. */
    public data class NotPlaced(val attempt: AttemptId) : SuspectEvent()

    /** [upstream] announced that it will stop, so its end is not a crash caused by its requests. */
    public data class Leaving(val upstream: UpstreamId) : SuspectEvent()

    /** [upstream] responds again after it crashed. */
    public data class Returned(val upstream: UpstreamId) : SuspectEvent()

    /**
     * Another node reported that [fingerprint] was running on [crashes] upstreams that crashed; the
     * report expires after [lifetime].
     */
    public data class SuspectReported(
        val fingerprint: Fingerprint,
        val crashes: Int,
        val lifetime: Duration,
    ) : SuspectEvent()

    /** The periodic timer event. */
    public data object Tick : SuspectEvent()
}
