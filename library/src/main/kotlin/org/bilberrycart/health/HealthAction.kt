package org.bilberrycart.health

import org.bilberrycart.model.Upstream
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.routing.LoadReport

/** What the health duty asks for. */
public sealed class HealthAction {
    /** Ask [upstream] for its load. */
    public data class Poll(val upstream: Upstream) : HealthAction()

    /** Tell routing the [load] of [upstream]. */
    public data class Report(val upstream: UpstreamId, val load: LoadReport) : HealthAction()

    /** [upstream] takes no new work in this [incarnation]; routing, dispatch and peers learn it. */
    public data class Leaving(val upstream: UpstreamId, val incarnation: Long) : HealthAction()

    /** [upstream] is back with a higher incarnation and takes new work. */
    public data class Returned(val upstream: UpstreamId) : HealthAction()
}
