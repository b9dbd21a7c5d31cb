package org.bilberrycart.dispatch

import kotlin.time.Duration
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.LossCause
import org.bilberrycart.model.Upstream
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.invariant
import org.bilberrycart.pipeline.withActions

/**
 * Decides when exchanges with upstreams are opened, replaced and closed.
 *
 * It is the last filter before bytes leave the node. It therefore checks the deadline and whether
 * the upstream is leaving once more, so that a node that resumes after a pause sends no attempt
 * whose deadline has passed.
 */
public class DispatchFilter : Filter<DispatchState, DispatchEvent, DispatchAction> {
    override fun step(
        state: DispatchState,
        event: DispatchEvent,
        now: Duration,
    ): Step<DispatchState, DispatchAction> = when (event) {
        is DispatchEvent.Start -> start(state, event, now)
        is DispatchEvent.Cancel -> cancel(state, event.attempt)
        is DispatchEvent.Detach -> detach(state, event.attempt)
        is DispatchEvent.Probe -> ifOpen(state, event.attempt) { upstream ->
            DispatchAction.SendProbe(event.attempt, upstream)
        }
        is DispatchEvent.Reattach -> ifOpen(state, event.attempt) { upstream ->
            DispatchAction.Reopen(event.attempt, upstream, event.from)
        }
        is DispatchEvent.Closed -> Step(
            state.copy(openAttempts = state.openAttempts.remove(event.attempt)),
            persistentListOf(DispatchAction.Remove(event.attempt)),
        )
        is DispatchEvent.Leaving -> Step(
            state.copy(leavingUpstreams = state.leavingUpstreams.add(event.upstream)),
        )
        is DispatchEvent.Returned -> Step(
            state.copy(leavingUpstreams = state.leavingUpstreams.remove(event.upstream)),
        )
    }

    private fun start(
        state: DispatchState,
        event: DispatchEvent.Start,
        now: Duration,
    ): Step<DispatchState, DispatchAction> {
        val placement = event.placement
        val attempt = placement.attempt
        invariant("one_dispatch_per_attempt", attempt !in state.openAttempts) {
            "attempt $attempt was dispatched twice"
        }
        val refusalCause = refusalCause(state, event, now)
        if (refusalCause != null) {
            val notSent =
                DispatchAction.NotSent(attempt, placement.request, event.upstream, refusalCause)
            return state.withActions(notSent)
        }
        return Step(
            state.copy(openAttempts = state.openAttempts.put(attempt, event.upstream)),
            persistentListOf(DispatchAction.Open(placement, event.upstream)),
        )
    }

    private fun refusalCause(
        state: DispatchState,
        event: DispatchEvent.Start,
        now: Duration,
    ): LossCause? = when {
        now >= event.placement.request.deadline -> LossCause.DEADLINE
        event.upstream.id in state.leavingUpstreams -> LossCause.REFUSED
        else -> null
    }

    private fun cancel(
        state: DispatchState,
        attempt: AttemptId,
    ): Step<DispatchState, DispatchAction> {
        val upstream = state.openAttempts[attempt] ?: return Step(state)
        return Step(
            state.copy(openAttempts = state.openAttempts.remove(attempt)),
            persistentListOf(DispatchAction.Abort(attempt, upstream)),
        )
    }

    private fun detach(
        state: DispatchState,
        attempt: AttemptId,
    ): Step<DispatchState, DispatchAction> {
        if (attempt !in state.openAttempts) return Step(state)
        return Step(
            state.copy(openAttempts = state.openAttempts.remove(attempt)),
            persistentListOf(DispatchAction.Detach(attempt)),
        )
    }

    private inline fun ifOpen(
        state: DispatchState,
        attempt: AttemptId,
        action: (Upstream) -> DispatchAction,
    ): Step<DispatchState, DispatchAction> {
        val upstream = state.openAttempts[attempt] ?: return Step(state)
        return state.withActions(action(upstream))
    }
}
