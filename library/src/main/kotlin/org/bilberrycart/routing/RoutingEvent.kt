package org.bilberrycart.routing

import kotlin.time.Duration
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.AttemptOutcome
import org.bilberrycart.model.Placement
import org.bilberrycart.model.ServiceId
import org.bilberrycart.model.Upstream
import org.bilberrycart.model.UpstreamId

/** An input of the routing duty. */
public sealed class RoutingEvent {
    /** [placement] needs an upstream, for a new request or for one whose attempt was lost. */
    public data class Place(val placement: Placement) : RoutingEvent()

    /** [attempt] is no longer needed; it is removed if it still waits for a slot. */
    public data class Withdraw(val attempt: AttemptId) : RoutingEvent()

    /** [attempt] ended on [upstream] with [outcome]. */
    public data class AttemptEnded(
        val attempt: AttemptId,
        val upstream: UpstreamId,
        val outcome: AttemptOutcome,
    ) : RoutingEvent()

    /** [upstream] reported its load; the report lags behind the real load. */
    public data class LoadReported(val upstream: UpstreamId, val load: LoadReport) : RoutingEvent()

    /** A configuration came into force that declares [upstreams] and the routing of [services]. */
    public data class Configured(
        val upstreams: List<Upstream>,
        val services: Map<ServiceId, ServiceRouting> = emptyMap(),
    ) : RoutingEvent()

    /** [upstream] takes no new work until it restarts with an incarnation above [incarnation]. */
    public data class UpstreamLeaving(val upstream: UpstreamId, val incarnation: Long) :
        RoutingEvent()

    /**
     * This node has position [index] among the [count] live nodes, ordered by data centre and VM.
     *
     * The position determines which upstreams this node prefers. Since it is only a preference, the
     * views of the nodes may differ for a while.
     */
    public data class NodesChanged(val index: Int, val count: Int) : RoutingEvent() {
        init {
            require(index in 0 until count) { "index must be from 0 to ${count - 1}, got $index" }
        }
    }

    /** Another node closed [upstream] for [lifetime], to run work alone on it. */
    public data class UpstreamClosed(val upstream: UpstreamId, val lifetime: Duration) :
        RoutingEvent()

    /** The periodic tick of the timer. */
    public data object Tick : RoutingEvent()
}
