package org.bilberrycart.dispatch

import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.FinishReason
import org.bilberrycart.model.LossCause
import org.bilberrycart.model.Token

/** What an upstream sends, or fails to send, for one attempt. */
public sealed class UpstreamEvent {
    /** The attempt that the event belongs to. */
    public abstract val attempt: AttemptId

    /** An engine accepted the work: its response headers arrived. */
    public data class Accepted(override val attempt: AttemptId) : UpstreamEvent()

    /** An engine produced [token]. */
    public data class TokenArrived(override val attempt: AttemptId, val token: Token) :
        UpstreamEvent()

    /** An engine ended the generation after [tokenCount] tokens, the prefix included. */
    public data class Finished(
        override val attempt: AttemptId,
        val reason: FinishReason,
        val tokenCount: Int,
    ) : UpstreamEvent()

    /** A plain service answered. */
    public data class Replied(override val attempt: AttemptId, val status: Int, val body: String) :
        UpstreamEvent()

    /** The exchange failed; [bytesSent] tells whether any byte may have reached the upstream. */
    public data class Lost(
        override val attempt: AttemptId,
        val cause: LossCause,
        val bytesSent: Boolean,
    ) : UpstreamEvent()

    /** A probe on a new connection ended. */
    public data class Probed(override val attempt: AttemptId, val isAlive: Boolean) :
        UpstreamEvent()
}
