package org.bilberrycart.gateway.lifecycle

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step

/**
 * Decides when a node is ready and how it stops.
 *
 * First it says that it isn't ready, then it takes no more streams, later nothing at all, and it
 * ends when all answers are given or [grace] is nearly over.
 *
 * @property grace the time from the order to stop until the process is killed.
 */
public class LifecycleFilter(private val grace: Duration) :
    Filter<LifecycleState, LifecycleEvent, LifecycleAction> {
    override fun step(
        state: LifecycleState,
        event: LifecycleEvent,
        now: Duration,
    ): Step<LifecycleState, LifecycleAction> = when (event) {
        LifecycleEvent.Configured -> known(state) { it.copy(hasConfiguration = true) }
        LifecycleEvent.UpstreamsListed -> known(state) { it.copy(hasUpstreams = true) }
        LifecycleEvent.Terminate -> terminate(state, now)
        is LifecycleEvent.Tick -> tick(state, event.openCalls, now)
    }

    private fun known(
        state: LifecycleState,
        change: (LifecycleState.Starting) -> LifecycleState.Starting,
    ): Step<LifecycleState, LifecycleAction> {
        if (state !is LifecycleState.Starting) return Step(state)
        val next = change(state)
        return when {
            next.hasConfiguration && next.hasUpstreams -> Step(
                LifecycleState.Serving,
                persistentListOf(LifecycleAction.Ready(true, "configured")),
            )
            else -> Step(next)
        }
    }

    private fun terminate(
        state: LifecycleState,
        now: Duration,
    ): Step<LifecycleState, LifecycleAction> = when (state) {
        is LifecycleState.Draining, LifecycleState.Stopped -> Step(state)
        is LifecycleState.Starting, LifecycleState.Serving -> Step(
            LifecycleState.Draining(now),
            persistentListOf(LifecycleAction.Ready(false, "told to stop")),
        )
    }

    private fun tick(
        state: LifecycleState,
        openCalls: Int,
        now: Duration,
    ): Step<LifecycleState, LifecycleAction> {
        if (state !is LifecycleState.Draining) return Step(state)
        val passed = now - state.since
        return when {
            passed >= grace - LAST_MOMENT -> Step(
                LifecycleState.Stopped,
                persistentListOf(
                    LifecycleAction.BreakOff(openCalls),
                    LifecycleAction.Exit(openCalls),
                ),
            )
            passed >= grace - LAST_CALLS && state.isAccepting ->
                state.copy(isAccepting = false).withActions(LifecycleAction.StopAccepting)
            passed >= STREAMS && state.takesStreams ->
                state.copy(takesStreams = false).withActions(LifecycleAction.RefuseStreams)
            passed >= BALANCER && openCalls == 0 -> Step(
                LifecycleState.Stopped,
                persistentListOf(LifecycleAction.Exit(openCalls)),
            )
            else -> Step(state)
        }
    }

    private fun LifecycleState.withActions(action: LifecycleAction) =
        Step(this, persistentListOf(action))

    private companion object {
        /** Streams that begin later may not end before the process is killed. */
        val STREAMS = 1.seconds

        /** Until then the balancer has missed two answers and sends no more callers. */
        val BALANCER = 3200.milliseconds

        /** Callers still come where no other node is ready; calls need this long to end. */
        val LAST_CALLS = 2.seconds

        /** What is left for closing connections before the process is killed. */
        val LAST_MOMENT = 900.milliseconds
    }
}
