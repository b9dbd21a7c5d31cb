package org.bilberrycart.routing

import kotlin.time.Duration
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.Placement
import org.bilberrycart.model.Request
import org.bilberrycart.model.ResultCode
import org.bilberrycart.model.ServiceId
import org.bilberrycart.model.Upstream
import org.bilberrycart.model.UpstreamId

/** An output of the routing duty. */
public sealed class RoutingAction {
    /** Send [placement] to [upstream]. */
    public data class Dispatch(val placement: Placement, val upstream: Upstream) : RoutingAction()

    /** [attempt] was given up with [code] because no upstream could take it. */
    public data class Unplaceable(
        val attempt: AttemptId,
        val request: Request,
        val code: ResultCode,
    ) : RoutingAction()

    /** Tell the other nodes that this node closed [upstream] for [lifetime], to run work alone. */
    public data class AnnounceClosed(val upstream: UpstreamId, val lifetime: Duration) :
        RoutingAction()

    /**
     * Tell admission the capacity of the upstreams of [service].
     *
     * @property slots the number of slots of the upstreams that accept new work.
     * @property usedByOthers the load that other nodes put on these upstreams, in slots, by the
     * last load reports.
     */
    public data class ReportCapacity(
        val service: ServiceId,
        val slots: Int,
        val usedByOthers: Int,
    ) : RoutingAction()
}
