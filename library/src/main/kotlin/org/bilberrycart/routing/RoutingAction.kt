package org.bilberrycart.routing

import kotlin.time.Duration
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.Placement
import org.bilberrycart.model.Request
import org.bilberrycart.model.ResultCode
import org.bilberrycart.model.ServiceId
import org.bilberrycart.model.Upstream
import org.bilberrycart.model.UpstreamId

/** What the routing duty asks for. */
public sealed class RoutingAction {
    /** Send [placement] to [upstream]. */
    public data class Dispatch(val placement: Placement, val upstream: Upstream) : RoutingAction()

    /** No upstream can take the attempt. */
    public data class Unplaceable(
        val attempt: AttemptId,
        val request: Request,
        val code: ResultCode,
    ) : RoutingAction()

    /** Tell the other nodes that [upstream] is closed for [lifetime]: work runs there alone. */
    public data class AnnounceClosed(val upstream: UpstreamId, val lifetime: Duration) :
        RoutingAction()

    /**
     * Tell admission how much the upstreams of [service] can run.
     *
     * @property slots the slots of the upstreams that take new work.
     * @property others how many of them other nodes use, by the last load reports.
     */
    public data class ReportCapacity(val service: ServiceId, val slots: Int, val others: Int) :
        RoutingAction()
}
