package org.bilberrycart.dispatch

import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.Placement
import org.bilberrycart.model.Request
import org.bilberrycart.model.Upstream

/** Receives the events of the exchanges with upstreams; called from any thread. */
public interface UpstreamOutput {
    /** [placement] is about to be sent to [upstream]; called before any event of its attempt. */
    public fun placed(placement: Placement, upstream: Upstream)

    /** The attempt of [action] was not sent; no byte of it left the node. */
    public fun notSent(action: DispatchAction.NotSent)

    /** [event] arrived from [upstream] for an attempt of [request]. */
    public fun eventArrived(request: Request, upstream: Upstream, event: UpstreamEvent)

    /** The node stopped [attempt] of [request] on [upstream] before the exchange ended. */
    public fun aborted(attempt: AttemptId, request: Request, upstream: Upstream)

    /** The exchange of [attempt] ended without being aborted. */
    public fun closed(attempt: AttemptId)
}
