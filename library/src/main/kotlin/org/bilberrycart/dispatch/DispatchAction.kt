package org.bilberrycart.dispatch

import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.LossCause
import org.bilberrycart.model.Placement
import org.bilberrycart.model.Request
import org.bilberrycart.model.Upstream

/** What the dispatch duty asks for. */
public sealed class DispatchAction {
    /** Open an exchange for [placement] with [upstream]. */
    public data class Open(val placement: Placement, val upstream: Upstream) : DispatchAction()

    /** Close the exchange of [attempt] and tell [upstream] to stop the work. */
    public data class Abort(val attempt: AttemptId, val upstream: Upstream) : DispatchAction()

    /** Close the exchange of [attempt] without a word to its upstream. */
    public data class Detach(val attempt: AttemptId) : DispatchAction()

    /** Probe [upstream] on a new connection. */
    public data class SendProbe(val attempt: AttemptId, val upstream: Upstream) : DispatchAction()

    /** Replace the exchange of [attempt] by a new one that starts at index [from]. */
    public data class Reopen(val attempt: AttemptId, val upstream: Upstream, val from: Int) :
        DispatchAction()

    /** The exchange of [attempt] ended by itself. */
    public data class Forget(val attempt: AttemptId) : DispatchAction()

    /** The attempt was not sent; no byte left the node. */
    public data class NotSent(
        val attempt: AttemptId,
        val request: Request,
        val upstream: Upstream,
        val cause: LossCause,
    ) : DispatchAction()
}
