package org.bilberrycart.node

import org.bilberrycart.dispatch.DispatchAction
import org.bilberrycart.dispatch.DispatchEvent
import org.bilberrycart.dispatch.UpstreamEvent
import org.bilberrycart.dispatch.UpstreamOutput
import org.bilberrycart.idempotency.IdempotencyEvent
import org.bilberrycart.journal.JournalEvent
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.AttemptOutcome
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.Placement
import org.bilberrycart.model.Request
import org.bilberrycart.model.ServiceCall
import org.bilberrycart.model.Upstream

/**
 * Puts the events of exchanges with upstreams into the ring of the filter that handles the request.
 *
 * The journal reports the end of an attempt of a generation to routing. The end of an attempt of a
 * service call is reported to routing by this class.
 */
internal class UpstreamRelay(private val rings: NodeRings) : UpstreamOutput {
    override fun placed(placement: Placement, upstream: Upstream) {
        val attempt = placement.attempt
        when (val request = placement.request) {
            is GenerationRequest ->
                rings.journal.of(request.id).put(JournalEvent.Placed(attempt, upstream.id))
            is ServiceCall -> rings.idempotency.put(IdempotencyEvent.Placed(attempt, upstream.id))
        }
    }

    override fun notSent(action: DispatchAction.NotSent) {
        val attempt = action.attempt
        when (val request = action.request) {
            is GenerationRequest -> {
                val ring = rings.journal.of(request.id)
                ring.put(JournalEvent.Placed(attempt, action.upstream.id))
                ring.put(JournalEvent.AttemptLost(attempt, action.cause))
            }
            is ServiceCall -> {
                rings.idempotency.put(
                    IdempotencyEvent.Lost(attempt, action.cause, mayHaveRun = false),
                )
                reportOutcome(attempt, action.upstream, AttemptOutcome.Lost(action.cause))
            }
        }
    }

    override fun eventArrived(request: Request, upstream: Upstream, event: UpstreamEvent) {
        when (request) {
            is GenerationRequest -> journal(event)
            is ServiceCall -> idempotency(upstream, event)
        }
    }

    override fun aborted(attempt: AttemptId, request: Request, upstream: Upstream) {
        when (request) {
            is GenerationRequest -> Unit
            is ServiceCall -> reportOutcome(attempt, upstream, AttemptOutcome.Cancelled)
        }
    }

    override fun closed(attempt: AttemptId) {
        rings.dispatch.put(DispatchEvent.Closed(attempt))
    }

    private fun journal(event: UpstreamEvent) {
        val ring = rings.journal.of(event.attempt.request)
        when (event) {
            is UpstreamEvent.Accepted -> ring.put(JournalEvent.Accepted(event.attempt))
            is UpstreamEvent.TokenArrived ->
                ring.putBulk(JournalEvent.TokenArrived(event.attempt, event.token))
            is UpstreamEvent.Finished -> ring.put(
                JournalEvent.AttemptFinished(event.attempt, event.reason, event.tokenCount),
            )
            is UpstreamEvent.Lost -> ring.put(JournalEvent.AttemptLost(event.attempt, event.cause))
            is UpstreamEvent.Probed ->
                ring.put(JournalEvent.ProbeEnded(event.attempt, event.isAlive))
            is UpstreamEvent.Replied -> Unit
        }
    }

    private fun idempotency(upstream: Upstream, event: UpstreamEvent) {
        when (event) {
            is UpstreamEvent.Replied -> {
                rings.idempotency.put(
                    IdempotencyEvent.Answered(event.attempt, event.status, event.body),
                )
                reportOutcome(event.attempt, upstream, AttemptOutcome.Completed)
            }
            is UpstreamEvent.Lost -> {
                rings.idempotency.put(
                    IdempotencyEvent.Lost(event.attempt, event.cause, event.mayHaveBeenSent),
                )
                reportOutcome(event.attempt, upstream, AttemptOutcome.Lost(event.cause))
            }
            is UpstreamEvent.Accepted,
            is UpstreamEvent.TokenArrived,
            is UpstreamEvent.Finished,
            is UpstreamEvent.Probed,
            -> Unit
        }
    }

    private fun reportOutcome(attempt: AttemptId, upstream: Upstream, outcome: AttemptOutcome) {
        rings.attemptEnded(attempt, upstream.id, outcome)
    }
}
