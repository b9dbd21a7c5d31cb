package org.bilberrycart.health

import org.bilberrycart.model.Upstream
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.routing.LoadReport

/** What the health duty reacts to. */
public sealed class HealthEvent {
    /** The upstreams of the configuration in force. */
    public data class Configured(val upstreams: List<Upstream>) : HealthEvent()

    /** [upstream] answered a poll with its [load]. */
    public data class Answered(val upstream: UpstreamId, val load: LoadReport) : HealthEvent()

    /** [upstream] did not answer a poll. */
    public data class Failed(val upstream: UpstreamId) : HealthEvent()

    /** A peer, the platform or an operator says that [upstream] leaves in this [incarnation]. */
    public data class LeavingHeard(val upstream: UpstreamId, val incarnation: Long) :
        HealthEvent()

    /** Time has passed. */
    public data object Tick : HealthEvent()
}
