package org.bilberrycart.routing

import kotlin.time.Duration
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.AttemptOutcome
import org.bilberrycart.model.Placement
import org.bilberrycart.model.ServiceId
import org.bilberrycart.model.Upstream
import org.bilberrycart.model.UpstreamId

/** What the routing duty reacts to. */
public sealed class RoutingEvent {
    /** [placement] needs an upstream: a new request, or one that lost its upstream. */
    public data class Place(val placement: Placement) : RoutingEvent()

    /** [attempt] is not wanted any more; it is forgotten if it still waits for a slot. */
    public data class Withdraw(val attempt: AttemptId) : RoutingEvent()

    /** An attempt on [upstream] is over. */
    public data class AttemptEnded(
        val attempt: AttemptId,
        val upstream: UpstreamId,
        val outcome: AttemptOutcome,
    ) : RoutingEvent()

    /** [upstream] reported its load, late as always. */
    public data class LoadReported(val upstream: UpstreamId, val load: LoadReport) : RoutingEvent()

    /** The upstreams that the configuration in force declares, and how [services] use them. */
    public data class Configured(
        val upstreams: List<Upstream>,
        val services: Map<ServiceId, ServiceRouting> = emptyMap(),
    ) : RoutingEvent()

    /** [upstream] takes no new work until it is back with a higher [incarnation]. */
    public data class Leaving(val upstream: UpstreamId, val incarnation: Long) : RoutingEvent()

    /**
     * This node has [index] among the [count] live nodes, in the order of data centre and VM.
     *
     * The nodes divide the upstreams by it; it is a preference only, so views may differ a while.
     */
    public data class NodesChanged(val index: Int, val count: Int) : RoutingEvent() {
        init {
            require(index in 0 until count) { "index must be from 0 to ${count - 1}, got $index" }
        }
    }

    /** Another node drains [upstream] for work that runs alone; it is closed for [lifetime]. */
    public data class Closed(val upstream: UpstreamId, val lifetime: Duration) : RoutingEvent()

    /** Time has passed. */
    public data object Tick : RoutingEvent()
}
