package org.bilberrycart.node

import org.bilberrycart.dispatch.DispatchAction
import org.bilberrycart.dispatch.DispatchEvent
import org.bilberrycart.dispatch.UpstreamEvent
import org.bilberrycart.dispatch.UpstreamOutput
import org.bilberrycart.journal.JournalEvent
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.Placement
import org.bilberrycart.model.Request
import org.bilberrycart.model.ServiceCall
import org.bilberrycart.model.Upstream

/** Puts what upstreams bring into the ring of the filter that owns the request. */
internal class UpstreamRelay(private val rings: NodeRings) : UpstreamOutput {
    override fun placed(placement: Placement, upstream: Upstream) {
        when (val request = placement.request) {
            is GenerationRequest -> rings.journal.of(request.id)
                .put(JournalEvent.Placed(placement.attempt, upstream.id))
            is ServiceCall -> Unit
        }
    }

    override fun notSent(action: DispatchAction.NotSent) {
        when (val request = action.request) {
            is GenerationRequest -> {
                val ring = rings.journal.of(request.id)
                ring.put(JournalEvent.Placed(action.attempt, action.upstream.id))
                ring.put(JournalEvent.AttemptLost(action.attempt, action.cause))
            }
            is ServiceCall -> Unit
        }
    }

    override fun event(request: Request, event: UpstreamEvent) {
        when (request) {
            is GenerationRequest -> journal(event)
            is ServiceCall -> Unit
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
}
