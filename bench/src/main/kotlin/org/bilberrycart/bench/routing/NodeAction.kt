package org.bilberrycart.bench.routing

import org.bilberrycart.model.Placement
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ResultCode
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.routing.RoutingEvent
import org.bilberrycart.suspect.SuspectEvent

/** What the filters of a node ask for outside of the node. */
internal sealed class NodeAction {
    /** Sends the attempt of [placement] to [engine]. */
    data class Dispatch(val node: Int, val placement: Placement, val engine: UpstreamId) :
        NodeAction()

    /** Ends [request] with the error [code]. */
    data class Fail(val request: RequestId, val code: ResultCode) : NodeAction()

    /** Reports [event] to the routing filters of the other nodes. */
    data class GossipRouting(val node: Int, val event: RoutingEvent) : NodeAction()

    /** Reports [event] to the suspect filters of the other nodes. */
    data class GossipSuspect(val node: Int, val event: SuspectEvent) : NodeAction()
}
