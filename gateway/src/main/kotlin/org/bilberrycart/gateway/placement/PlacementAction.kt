package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import org.bilberrycart.gateway.model.AttemptKey
import org.bilberrycart.gateway.model.Refusal
import org.bilberrycart.gateway.model.UpstreamAnswer
import org.bilberrycart.gateway.model.UpstreamEntry
import org.bilberrycart.gateway.model.UpstreamId

/** What placement asks for. */
public sealed class PlacementAction {
    /** Send a call; [why] says what led to this upstream. */
    public data class Send(val order: SendOrder, val why: String) : PlacementAction()

    /** Break off an attempt. */
    public data class Cancel(val attempt: AttemptKey, val upstream: UpstreamId, val why: String) :
        PlacementAction()

    /** Give the caller an upstream's answer. */
    public data class Deliver(val call: CallState, val answer: UpstreamAnswer) :
        PlacementAction()

    /** Give the caller an answer of the node's own. */
    public data class Refuse(val call: CallState, val refusal: Refusal) : PlacementAction()

    /** Break off a stream of which the caller has a part. */
    public data class Abort(val call: CallState, val why: String) : PlacementAction()

    /** Forget a call whose caller has its answer or has gone. */
    public data class Forget(val call: CallState, val why: String) : PlacementAction()

    /** Say that a stream goes on after a pause of [pause]. */
    public data class Resumed(val call: CallState, val attempt: Attempt, val pause: Duration) :
        PlacementAction()

    /** Say that [upstream] broke off when it began the call, as [strikes] upstreams now did. */
    public data class Struck(val call: CallState, val upstream: UpstreamId, val strikes: Int) :
        PlacementAction()

    /** Ask an upstream for a sign of life. */
    public data class Probe(val upstream: UpstreamEntry, val silentMillis: Long) :
        PlacementAction()

    /** Find out what service [id] has, which answered at the address of [replaced]. */
    public data class Identify(val replaced: UpstreamEntry, val id: UpstreamId) :
        PlacementAction()

    /** Say that the belief about an upstream has changed. */
    public data class Believe(val upstream: UpstreamId, val belief: String, val why: String) :
        PlacementAction()
}
