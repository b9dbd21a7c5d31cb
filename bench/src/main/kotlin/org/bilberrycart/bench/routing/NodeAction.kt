package org.bilberrycart.bench.routing

import org.bilberrycart.model.Placement
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ResultCode
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.routing.RoutingEvent
import org.bilberrycart.suspect.SuspectEvent

/** What the decisions of a node ask the run for. */
internal sealed class NodeAction {
    data class Send(val node: Int, val placement: Placement, val engine: UpstreamId) :
        NodeAction()

    data class Fail(val request: RequestId, val code: ResultCode) : NodeAction()

    data class TellRouting(val node: Int, val event: RoutingEvent) : NodeAction()

    data class TellSuspect(val node: Int, val event: SuspectEvent) : NodeAction()
}
