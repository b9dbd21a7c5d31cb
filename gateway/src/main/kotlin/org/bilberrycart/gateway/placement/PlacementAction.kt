package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import org.bilberrycart.gateway.model.AttemptKey
import org.bilberrycart.gateway.model.PromptPartId
import org.bilberrycart.gateway.model.Refusal
import org.bilberrycart.gateway.model.UpstreamAnswer
import org.bilberrycart.gateway.model.UpstreamEntry
import org.bilberrycart.gateway.model.UpstreamId

/** An action that the placement filter requests. */
public sealed class PlacementAction {
    /** Send a call to an upstream; [why] states what led to this dispatch. */
    public data class Send(val order: SendOrder, val why: String) : PlacementAction()

    /** Cancel an attempt in progress. */
    public data class Cancel(val attempt: AttemptKey, val upstream: UpstreamId, val why: String) :
        PlacementAction()

    /** Deliver an upstream's answer to the caller. */
    public data class Deliver(val call: ActiveCall, val answer: UpstreamAnswer) :
        PlacementAction()

    /** Answer the caller with a refusal of this node. */
    public data class Refuse(val call: ActiveCall, val refusal: Refusal) : PlacementAction()

    /** Abort a stream of which the caller has received a part. */
    public data class Abort(val call: ActiveCall, val why: String) : PlacementAction()

    /** Release a call whose caller has received the whole stream or has disconnected. */
    public data class Forget(val call: ActiveCall, val why: String) : PlacementAction()

    /** Report that a stream continues after an interruption of [pause]. */
    public data class Resumed(val call: ActiveCall, val attempt: Attempt, val pause: Duration) :
        PlacementAction()

    /**
     * Report that the upstream of [attempt] crashed before it sent an event; [crashCount] upstreams
     * have now crashed on calls with the same content.
     */
    public data class CrashRecorded(
        val call: ActiveCall,
        val attempt: Attempt,
        val crashCount: Int,
    ) : PlacementAction()

    /** Report that calls whose prompts contain [part] are refused because of [crashes]. */
    public data class PartBlocked(val part: PromptPartId, val crashes: List<PartCrash>) :
        PlacementAction()

    /** Report that calls whose prompts contain [part] are no longer refused. */
    public data class PartReleased(val part: PromptPartId) : PlacementAction()

    /** Report that the retry budget allows [call] no retry for now; [why] gives its use. */
    public data class RetryRefused(val call: ActiveCall, val why: String) : PlacementAction()

    /** Find out at which software version the stream began that the caller of [call] resumes. */
    public data class SeekOrigin(val call: ActiveCall) : PlacementAction()

    /** Reports that the node lost its links to the upstreams, or has them again. */
    public data class IsolationChanged(val isIsolated: Boolean) : PlacementAction()

    /** Probe the health of an upstream that has been silent for [silentMillis]. */
    public data class Probe(val upstream: UpstreamEntry, val silentMillis: Long) :
        PlacementAction()

    /** Find out which service [id] belongs to, which answered at the address of [replaced]. */
    public data class Identify(val replaced: UpstreamEntry, val id: UpstreamId) :
        PlacementAction()

    /** Report that the [status] of an upstream, as this node sees it, has changed. */
    public data class UpstreamStatusChanged(
        val upstream: UpstreamId,
        val status: String,
        val why: String,
    ) : PlacementAction()
}
