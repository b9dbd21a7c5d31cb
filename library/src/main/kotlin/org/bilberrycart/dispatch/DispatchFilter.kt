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
 * Opens, replaces and closes the exchanges with upstreams.
 *
 * It is the last filter before bytes leave the node, so it checks the deadline and the leaving
 * upstreams again: a paused node that wakes sends nothing late.
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
        is DispatchEvent.Probe -> withOpen(state, event.attempt) { upstream ->
            DispatchAction.SendProbe(event.attempt, upstream)
        }
        is DispatchEvent.Reattach -> withOpen(state, event.attempt) { upstream ->
            DispatchAction.Reopen(event.attempt, upstream, event.from)
        }
        is DispatchEvent.Closed -> Step(
            state.copy(open = state.open.remove(event.attempt)),
            persistentListOf(DispatchAction.Forget(event.attempt)),
        )
        is DispatchEvent.Leaving -> Step(state.copy(leaving = state.leaving.add(event.upstream)))
        is DispatchEvent.Returned -> Step(
            state.copy(leaving = state.leaving.remove(event.upstream)),
        )
    }

    private fun start(
        state: DispatchState,
        event: DispatchEvent.Start,
        now: Duration,
    ): Step<DispatchState, DispatchAction> {
        val placement = event.placement
        val attempt = placement.attempt
        invariant("one_dispatch_per_attempt", attempt !in state.open) {
            "attempt $attempt was dispatched twice"
        }
        val refusal = refusal(state, event, now)
        if (refusal != null) {
            val notSent =
                DispatchAction.NotSent(attempt, placement.request, event.upstream, refusal)
            return state.withActions(notSent)
        }
        return Step(
            state.copy(open = state.open.put(attempt, event.upstream)),
            persistentListOf(DispatchAction.Open(placement, event.upstream)),
        )
    }

    private fun refusal(
        state: DispatchState,
        event: DispatchEvent.Start,
        now: Duration,
    ): LossCause? = when {
        now >= event.placement.request.deadline -> LossCause.DEADLINE
        event.upstream.id in state.leaving -> LossCause.REFUSED
        else -> null
    }

    private fun cancel(
        state: DispatchState,
        attempt: AttemptId,
    ): Step<DispatchState, DispatchAction> {
        val upstream = state.open[attempt] ?: return Step(state)
        return Step(
            state.copy(open = state.open.remove(attempt)),
            persistentListOf(DispatchAction.Abort(attempt, upstream)),
        )
    }

    private fun detach(
        state: DispatchState,
        attempt: AttemptId,
    ): Step<DispatchState, DispatchAction> {
        if (attempt !in state.open) return Step(state)
        return Step(
            state.copy(open = state.open.remove(attempt)),
            persistentListOf(DispatchAction.Detach(attempt)),
        )
    }

    private inline fun withOpen(
        state: DispatchState,
        attempt: AttemptId,
        action: (Upstream) -> DispatchAction,
    ): Step<DispatchState, DispatchAction> {
        val upstream = state.open[attempt] ?: return Step(state)
        return state.withActions(action(upstream))
    }
}
