package org.bilberrycart.gateway.relay

import org.bilberrycart.gateway.model.AnswerHead
import org.bilberrycart.gateway.model.AttemptKey
import org.bilberrycart.gateway.model.Body
import org.bilberrycart.gateway.model.CallKey
import org.bilberrycart.gateway.model.RoutedCall
import org.bilberrycart.gateway.placement.PlacementEvent
import org.bilberrycart.gateway.placement.SendOrder

/** What the relay asks for. */
public sealed class RelayAction {
    /** Send [order]; the stream goes on behind [lastEvent]. */
    public data class Send(val order: SendOrder, val lastEvent: Long?) : RelayAction()

    /** Give the caller the head of the answer. */
    public data class Open(val call: RoutedCall, val head: AnswerHead) : RelayAction()

    /** Give the caller whole events, then ask [attempt] for more. */
    public data class Write(val attempt: AttemptKey, val bytes: Body) : RelayAction()

    /** Ask [attempt] for more bytes. */
    public data class Demand(val attempt: AttemptKey) : RelayAction()

    /** Break off an attempt whose bytes are of no use. */
    public data class Drop(val attempt: AttemptKey) : RelayAction()

    /** End the caller's answer as complete. */
    public data class Complete(val key: CallKey) : RelayAction()

    /** Break off the caller's answer, so that it can't be taken for a complete one. */
    public data class Abort(val key: CallKey) : RelayAction()

    /** Tell placement. */
    public data class Report(val event: PlacementEvent) : RelayAction()
}
