package org.bilberrycart.health

import org.bilberrycart.model.Upstream
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.routing.LoadReport

/** An input of [HealthFilter]. */
public sealed class HealthEvent {
    /** The configuration now applied has these [upstreams]. */
    public data class Configured(val upstreams: List<Upstream>) : HealthEvent()

    /** [upstream] answered a poll with its [load]. */
    public data class LoadReceived(val upstream: UpstreamId, val load: LoadReport) : HealthEvent()

    /** [upstream] did not answer a poll. */
    public data class PollFailed(val upstream: UpstreamId) : HealthEvent()

    /** A peer, the platform or an operator reported that [upstream] leaves in [incarnation]. */
    public data class LeavingReported(val upstream: UpstreamId, val incarnation: Long) :
        HealthEvent()

    /** Time has passed. */
    public data object Tick : HealthEvent()
}
