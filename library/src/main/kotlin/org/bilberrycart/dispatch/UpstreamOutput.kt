package org.bilberrycart.dispatch

import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.Placement
import org.bilberrycart.model.Request
import org.bilberrycart.model.Upstream

/** Where the exchanges with upstreams put what they bring; called from any thread. */
public interface UpstreamOutput {
    /** [placement] is about to be sent to [upstream]; precedes every event of its attempt. */
    public fun placed(placement: Placement, upstream: Upstream)

    /** The attempt was not sent at all. */
    public fun notSent(action: DispatchAction.NotSent)

    /** [event] came from [upstream] for an attempt of [request]. */
    public fun event(request: Request, upstream: Upstream, event: UpstreamEvent)

    /** The node stopped [attempt] of [request] on [upstream] before it ended by itself. */
    public fun aborted(attempt: AttemptId, request: Request, upstream: Upstream)

    /** The exchange of [attempt] ended by itself. */
    public fun closed(attempt: AttemptId)
}
