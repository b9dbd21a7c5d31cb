package org.bilberrycart.dispatch

import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.LossCause
import org.bilberrycart.model.Placement
import org.bilberrycart.model.Request
import org.bilberrycart.model.Upstream

/** An action that the dispatch filter requests; [DispatchClient] carries it out. */
public sealed class DispatchAction {
    /** Opens an exchange with [upstream] for the attempt of [placement]. */
    public data class Open(val placement: Placement, val upstream: Upstream) : DispatchAction()

    /** Closes the exchange of [attempt] and tells [upstream] to stop the work. */
    public data class Abort(val attempt: AttemptId, val upstream: Upstream) : DispatchAction()

    /** Closes the exchange of [attempt] without cancelling the work on the upstream. */
    public data class Detach(val attempt: AttemptId) : DispatchAction()

    /** Sends a health probe for [attempt] to [upstream] on a new connection. */
    public data class SendProbe(val attempt: AttemptId, val upstream: Upstream) : DispatchAction()

    /** Replaces the exchange of [attempt] by a new one that starts at token index [from]. */
    public data class Reopen(val attempt: AttemptId, val upstream: Upstream, val from: Int) :
        DispatchAction()

    /** Removes the exchange of [attempt], which ended without being aborted. */
    public data class Remove(val attempt: AttemptId) : DispatchAction()

    /** Reports that the attempt was not sent because of [cause]; no byte left the node. */
    public data class NotSent(
        val attempt: AttemptId,
        val request: Request,
        val upstream: Upstream,
        val cause: LossCause,
    ) : DispatchAction()
}
