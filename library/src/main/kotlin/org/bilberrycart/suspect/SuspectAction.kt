package org.bilberrycart.suspect

import kotlin.time.Duration
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.Fingerprint
import org.bilberrycart.model.Placement
import org.bilberrycart.model.Request
import org.bilberrycart.model.ResultCode

/** What the suspect duty asks for. */
public sealed class SuspectAction {
    /** Pass [placement] on to routing. */
    public data class Place(val placement: Placement) : SuspectAction()

    /** Do not run the attempt. */
    public data class Refuse(val attempt: AttemptId, val request: Request, val code: ResultCode) :
        SuspectAction()

    /** Tell the other nodes that [fingerprint] was on [deaths] upstreams that died. */
    public data class Spread(
        val fingerprint: Fingerprint,
        val deaths: Int,
        val lifetime: Duration,
    ) : SuspectAction()
}
