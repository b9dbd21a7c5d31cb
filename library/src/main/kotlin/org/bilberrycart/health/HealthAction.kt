package org.bilberrycart.health

import org.bilberrycart.model.Upstream
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.routing.LoadReport

/** An output of [HealthFilter]. */
public sealed class HealthAction {
    /** Request the load of [upstream]. */
    public data class Poll(val upstream: Upstream) : HealthAction()

    /** Report the [load] of [upstream] to routing. */
    public data class ReportLoad(val upstream: UpstreamId, val load: LoadReport) : HealthAction()

    /**
     * [upstream] accepts no new work in this [incarnation].
     *
     * Routing, dispatch and the peers are notified.
     */
    public data class Leaving(val upstream: UpstreamId, val incarnation: Long) : HealthAction()

    /** [upstream] returned with a higher incarnation and accepts new work. */
    public data class Returned(val upstream: UpstreamId) : HealthAction()
}
