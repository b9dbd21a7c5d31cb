package org.bilberrycart.gateway.lifecycle

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step

/**
 * Decides when a node is ready and how it shuts down.
 *
 * During shutdown the node first reports that it is not ready, then refuses streams, then calls
 * that may outlast [grace]. Once the balancer sends no more callers and all calls are answered, or
 * [grace] is nearly over, it closes its connections, and exits when the last request that it read
 * is answered. What is open shortly before the end of [grace] is ended with an error.
 *
 * @property grace the time from the request to stop until the process is killed.
 */
public class LifecycleFilter(private val grace: Duration) :
    Filter<LifecycleState, LifecycleEvent, LifecycleAction> {
    override fun step(
        state: LifecycleState,
        event: LifecycleEvent,
        now: Duration,
    ): Step<LifecycleState, LifecycleAction> = when (event) {
        LifecycleEvent.Configured -> updateStarting(state) { it.copy(hasConfiguration = true) }
        LifecycleEvent.UpstreamsListed -> updateStarting(state) { it.copy(hasUpstreams = true) }
        LifecycleEvent.Terminate -> terminate(state, now)
        is LifecycleEvent.Tick -> tick(state, event.openCalls, now)
    }

    private fun updateStarting(
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
        val elapsed = now - state.since
        val breakOffAt = grace - BREAK_OFF_RESERVE
        return when {
            elapsed >= grace - EXIT_RESERVE || state.isBrokenOff && openCalls == 0 -> Step(
                LifecycleState.Stopped,
                persistentListOf(LifecycleAction.Exit(openCalls)),
            )
            elapsed >= breakOffAt && !state.isBrokenOff ->
                state.copy(isBrokenOff = true).withActions(LifecycleAction.BreakOff(openCalls))
            state.closedAt == null && mustClose(elapsed, openCalls) ->
                state.copy(closedAt = now).withActions(LifecycleAction.StopAccepting)
            elapsed >= STREAM_ACCEPTANCE && state.acceptsStreams ->
                state.copy(acceptsStreams = false).withActions(LifecycleAction.RefuseStreams)
            elapsed >= LONG_CALL_ACCEPTANCE && state.acceptsLongCalls ->
                state.copy(acceptsLongCalls = false)
                    .withActions(LifecycleAction.RefuseLongCalls(state.since + breakOffAt))
            openCalls == 0 && state.closedAt?.let { now - it >= CLOSE_SETTLE } == true -> Step(
                LifecycleState.Stopped,
                persistentListOf(LifecycleAction.Exit(openCalls)),
            )
            else -> Step(state)
        }
    }

    private fun mustClose(elapsed: Duration, openCalls: Int): Boolean =
        elapsed >= grace - FINAL_CALLS || elapsed >= BALANCER_DETECTION && openCalls == 0

    private fun LifecycleState.withActions(action: LifecycleAction) =
        Step(this, persistentListOf(action))

    private companion object {
        /** Streams that start later than this may not end before the process is killed. */
        val STREAM_ACCEPTANCE = 1.seconds

        /** After this time the balancer has seen two failed checks and sends no more callers. */
        val BALANCER_DETECTION = 3200.milliseconds

        /**
         * Callers keep arriving where no other node is ready. The node refuses them for the last
         * part of [grace], so that calls have this long to end.
         */
        val FINAL_CALLS = 2.seconds

        /** Requests that were read when the connections closed are answered within this time. */
        val CLOSE_SETTLE = 200.milliseconds

        /** Calls that start later than this must be answered before they would be broken off. */
        val LONG_CALL_ACCEPTANCE = 2500.milliseconds

        /** How long before the process is killed the calls that are still open are ended. */
        val BREAK_OFF_RESERVE = 900.milliseconds

        /** Reserved for the end of the process before it is killed. */
        val EXIT_RESERVE = 600.milliseconds
    }
}
