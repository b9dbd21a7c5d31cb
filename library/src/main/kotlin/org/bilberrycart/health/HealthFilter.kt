package org.bilberrycart.health

import kotlin.time.Duration
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step

/**
 * Polls the load of upstreams in turn and decides which of them leave or have returned.
 *
 * An upstream that leaves accepts new work again only with a higher incarnation.
 */
public class HealthFilter(private val settings: HealthSettings = HealthSettings()) :
    Filter<HealthState, HealthEvent, HealthAction> {
    override fun step(
        state: HealthState,
        event: HealthEvent,
        now: Duration,
    ): Step<HealthState, HealthAction> = when (event) {
        is HealthEvent.Configured -> Step(
            state.copy(upstreams = event.upstreams.toPersistentList(), nextIndex = 0),
        )
        is HealthEvent.LoadReceived -> loadReceived(state, event)
        is HealthEvent.PollFailed -> Step(state)
        is HealthEvent.LeavingReported -> markLeaving(state, event)
        HealthEvent.Tick -> poll(state, now)
    }

    private fun loadReceived(state: HealthState, event: HealthEvent.LoadReceived): HealthStep {
        val report = HealthAction.ReportLoad(event.upstream, event.load)
        val known = state.leavingIncarnations[event.upstream]
        return when {
            event.load.leaving -> {
                val reported = HealthEvent.LeavingReported(event.upstream, event.load.incarnation)
                val step = markLeaving(state, reported)
                step.copy(actions = step.actions.add(report))
            }
            known != null && event.load.incarnation > known -> Step(
                state.copy(leavingIncarnations = state.leavingIncarnations.remove(event.upstream)),
                persistentListOf(HealthAction.Returned(event.upstream), report),
            )
            else -> Step(state, persistentListOf(report))
        }
    }

    private fun markLeaving(state: HealthState, event: HealthEvent.LeavingReported): HealthStep {
        val known = state.leavingIncarnations[event.upstream]
        if (known != null && known >= event.incarnation) return Step(state)
        return Step(
            state.copy(
                leavingIncarnations =
                state.leavingIncarnations.put(event.upstream, event.incarnation),
            ),
            persistentListOf(HealthAction.Leaving(event.upstream, event.incarnation)),
        )
    }

    private fun poll(state: HealthState, now: Duration): HealthStep {
        val count = state.upstreams.size
        if (count == 0) return Step(state)
        val interval = maxOf(settings.pollInterval, settings.upstreamPollInterval / count)
        val last = state.lastPollAt
        if (last != null && now - last < interval) return Step(state)
        val polled = state.copy(nextIndex = (state.nextIndex + 1) % count, lastPollAt = now)
        return Step(polled, persistentListOf(HealthAction.Poll(state.upstreams[state.nextIndex])))
    }
}

private typealias HealthStep = Step<HealthState, HealthAction>
