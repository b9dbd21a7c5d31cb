package org.bilberrycart.suspect

import kotlin.time.Duration
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.Fingerprint
import org.bilberrycart.model.Placement
import org.bilberrycart.model.Request
import org.bilberrycart.model.ResultCode

/** An action that the suspect duty requests. */
public sealed class SuspectAction {
    /** Forward [placement] to routing. */
    public data class Place(val placement: Placement) : SuspectAction()

    /** Do not run [attempt]; [code] is the reason. */
    public data class Refuse(val attempt: AttemptId, val request: Request, val code: ResultCode) :
        SuspectAction()

    /**
     * Report to the other nodes that [fingerprint] was running on [crashes] upstreams that crashed;
     * the report expires after [lifetime].
     */
    public data class Gossip(
        val fingerprint: Fingerprint,
        val crashes: Int,
        val lifetime: Duration,
    ) : SuspectAction()
}
