package org.bilberrycart.dispatch

import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.Placement
import org.bilberrycart.model.Upstream
import org.bilberrycart.model.UpstreamId

/** An event that the dispatch filter handles. */
public sealed class DispatchEvent {
    /** The attempt of [placement] is to be sent to [upstream]. */
    public data class Start(val placement: Placement, val upstream: Upstream) : DispatchEvent()

    /** [attempt] is to be stopped, on the upstream too. */
    public data class Cancel(val attempt: AttemptId) : DispatchEvent()

    /** The stream of [attempt] is no longer read, but the upstream continues its work. */
    public data class Detach(val attempt: AttemptId) : DispatchEvent()

    /** The upstream of [attempt] is to be probed for health on a new connection. */
    public data class Probe(val attempt: AttemptId) : DispatchEvent()

    /** The stream of [attempt] is to be read on a new connection from token index [from] on. */
    public data class Reattach(val attempt: AttemptId, val from: Int) : DispatchEvent()

    /** The exchange of [attempt] has ended. */
    public data class Closed(val attempt: AttemptId) : DispatchEvent()

    /** [upstream] accepts no new work. */
    public data class Leaving(val upstream: UpstreamId) : DispatchEvent()

    /** [upstream] accepts new work again. */
    public data class Returned(val upstream: UpstreamId) : DispatchEvent()
}
