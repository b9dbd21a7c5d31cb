package org.bilberrycart.dispatch

import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.Placement
import org.bilberrycart.model.Upstream
import org.bilberrycart.model.UpstreamId

/** What the dispatch duty reacts to. */
public sealed class DispatchEvent {
    /** Send [placement] to [upstream]. */
    public data class Start(val placement: Placement, val upstream: Upstream) : DispatchEvent()

    /** Stop [attempt], on the upstream too. */
    public data class Cancel(val attempt: AttemptId) : DispatchEvent()

    /** Stop reading the stream of [attempt], but let the upstream go on. */
    public data class Detach(val attempt: AttemptId) : DispatchEvent()

    /** Ask the upstream of [attempt], on a new connection, whether it is alive. */
    public data class Probe(val attempt: AttemptId) : DispatchEvent()

    /** Read the stream of [attempt] again on a new connection, starting at index [from]. */
    public data class Reattach(val attempt: AttemptId, val from: Int) : DispatchEvent()

    /** The exchange of [attempt] is over. */
    public data class Closed(val attempt: AttemptId) : DispatchEvent()

    /** [upstream] takes no new work. */
    public data class Leaving(val upstream: UpstreamId) : DispatchEvent()

    /** [upstream] is back and takes new work again. */
    public data class Returned(val upstream: UpstreamId) : DispatchEvent()
}
