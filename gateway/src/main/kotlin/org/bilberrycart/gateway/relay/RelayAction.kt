package org.bilberrycart.gateway.relay

import org.bilberrycart.gateway.model.AnswerHead
import org.bilberrycart.gateway.model.AttemptKey
import org.bilberrycart.gateway.model.Body
import org.bilberrycart.gateway.model.CallKey
import org.bilberrycart.gateway.model.RoutedCall
import org.bilberrycart.gateway.placement.PlacementEvent
import org.bilberrycart.gateway.placement.SendOrder

/** The actions that the relay requests. */
public sealed class RelayAction {
    /**
     * Sends [order] to its upstream, which continues the stream after the event with the id
     * [lastEvent], or starts it if that is null.
     */
    public data class Send(val order: SendOrder, val lastEvent: Long?) : RelayAction()

    /** Sends the caller the [head] of the answer. */
    public data class Open(val call: RoutedCall, val head: AnswerHead) : RelayAction()

    /** Sends the caller [bytes], which hold complete events, then requests more from [attempt]. */
    public data class Write(val attempt: AttemptKey, val bytes: Body) : RelayAction()

    /** Requests more bytes from [attempt]. */
    public data class Demand(val attempt: AttemptKey) : RelayAction()

    /** Cancels [attempt], whose bytes are not needed; [why] is for the log. */
    public data class Drop(val attempt: AttemptKey, val why: String = "not needed") : RelayAction()

    /** Ends the caller's answer as complete. */
    public data class Complete(val key: CallKey) : RelayAction()

    /** Aborts the caller's answer so that the caller can tell that it is incomplete. */
    public data class Abort(val key: CallKey) : RelayAction()

    /** Passes [event] to placement. */
    public data class Report(val event: PlacementEvent) : RelayAction()
}
