package org.bilberrycart.gateway.relay

import org.bilberrycart.gateway.model.AnswerHead
import org.bilberrycart.gateway.model.AttemptKey
import org.bilberrycart.gateway.model.Body
import org.bilberrycart.gateway.model.CallKey
import org.bilberrycart.gateway.placement.SendOrder

/** The inputs of the relay. */
public sealed class RelayEvent {
    /** Placement sends a stream to an upstream; this replaces earlier attempts of the stream. */
    public data class Begin(val order: SendOrder) : RelayEvent()

    /** An upstream sent the head of a streamed answer. */
    public data class Opened(val attempt: AttemptKey, val head: AnswerHead) : RelayEvent()

    /** Bytes of a stream arrived; the next ones arrive only after they are requested. */
    public data class Chunk(val attempt: AttemptKey, val bytes: Body) : RelayEvent()

    /** An upstream ended its stream in the way that the protocol requires. */
    public data class Ended(val attempt: AttemptKey) : RelayEvent()

    /** The connection of [attempt] broke. */
    public data class Failed(val attempt: AttemptKey, val cause: String) : RelayEvent()

    /** Placement cancels [attempt], which it may have begun just before. */
    public data class Cancel(val attempt: AttemptKey, val why: String) : RelayEvent()

    /** The stream stops; with [isAborted] the caller's answer is aborted as incomplete. */
    public data class Stop(val key: CallKey, val isAborted: Boolean) : RelayEvent()
}
