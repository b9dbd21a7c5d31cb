package org.bilberrycart.dispatch

import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.FinishReason
import org.bilberrycart.model.LossCause
import org.bilberrycart.model.Token

/** A response, a part of it or a failure that an exchange reports for one attempt. */
public sealed class UpstreamEvent {
    /** The attempt to which the event belongs. */
    public abstract val attempt: AttemptId

    /** An engine accepted the work: its response headers arrived. */
    public data class Accepted(override val attempt: AttemptId) : UpstreamEvent()

    /** An engine produced [token]. */
    public data class TokenArrived(override val attempt: AttemptId, val token: Token) :
        UpstreamEvent()

    /** An engine finished the generation; [tokenCount] includes the tokens of the prefix. */
    public data class Finished(
        override val attempt: AttemptId,
        val reason: FinishReason,
        val tokenCount: Int,
    ) : UpstreamEvent()

    /** A plain service answered with [status] and [body]. */
    public data class Replied(override val attempt: AttemptId, val status: Int, val body: String) :
        UpstreamEvent()

    /**
     * The exchange failed because of [cause].
     *
     * @property mayHaveBeenSent whether any byte of the request may have reached the upstream.
     */
    public data class Lost(
        override val attempt: AttemptId,
        val cause: LossCause,
        val mayHaveBeenSent: Boolean,
    ) : UpstreamEvent()

    /** A health probe on a new connection ended; [isAlive] is false if it failed or timed out. */
    public data class Probed(override val attempt: AttemptId, val isAlive: Boolean) :
        UpstreamEvent()
}
