package org.bilberrycart.gateway.relay

import org.bilberrycart.gateway.model.AnswerHead
import org.bilberrycart.gateway.model.AttemptKey
import org.bilberrycart.gateway.model.Body
import org.bilberrycart.gateway.model.CallKey
import org.bilberrycart.gateway.placement.SendOrder

/** What reaches the relay. */
public sealed class RelayEvent {
    /** Placement sends a stream to an upstream; earlier attempts of it no longer count. */
    public data class Begin(val order: SendOrder) : RelayEvent()

    /** An upstream began to answer with a stream. */
    public data class Opened(val attempt: AttemptKey, val head: AnswerHead) : RelayEvent()

    /** Bytes of a stream; the next ones come only when they are asked for. */
    public data class Chunk(val attempt: AttemptKey, val bytes: Body) : RelayEvent()

    /** An upstream ended its stream as the protocol asks. */
    public data class Ended(val attempt: AttemptKey) : RelayEvent()

    /** The connection broke. */
    public data class Failed(val attempt: AttemptKey, val cause: String) : RelayEvent()

    /** Nothing more goes to the caller; [isAborted] if it is to see that the stream broke. */
    public data class Stop(val key: CallKey, val isAborted: Boolean) : RelayEvent()
}
