package org.bilberrycart.health

import kotlin.time.Duration
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step

/**
 * Polls the load of upstreams in turn and decides which of them leave or are back.
 *
 * Leaving is one-way: an upstream takes new work again only with a higher incarnation.
 */
public class HealthFilter(private val settings: HealthSettings = HealthSettings()) :
    Filter<HealthState, HealthEvent, HealthAction> {
    override fun step(
        state: HealthState,
        event: HealthEvent,
        now: Duration,
    ): Step<HealthState, HealthAction> = when (event) {
        is HealthEvent.Configured -> Step(
            state.copy(upstreams = event.upstreams.toPersistentList(), next = 0),
        )
        is HealthEvent.Answered -> answered(state, event)
        is HealthEvent.Failed -> Step(state)
        is HealthEvent.LeavingHeard -> leaving(state, event)
        HealthEvent.Tick -> poll(state, now)
    }

    private fun answered(state: HealthState, event: HealthEvent.Answered): HealthStep {
        val report = HealthAction.Report(event.upstream, event.load)
        val known = state.leaving[event.upstream]
        return when {
            event.load.leaving -> {
                val heard = HealthEvent.LeavingHeard(event.upstream, event.load.incarnation)
                val step = leaving(state, heard)
                step.copy(actions = step.actions.add(report))
            }
            known != null && event.load.incarnation > known -> Step(
                state.copy(leaving = state.leaving.remove(event.upstream)),
                persistentListOf(HealthAction.Returned(event.upstream), report),
            )
            else -> Step(state, persistentListOf(report))
        }
    }

    private fun leaving(state: HealthState, event: HealthEvent.LeavingHeard): HealthStep {
        val known = state.leaving[event.upstream]
        if (known != null && known >= event.incarnation) return Step(state)
        return Step(
            state.copy(leaving = state.leaving.put(event.upstream, event.incarnation)),
            persistentListOf(HealthAction.Leaving(event.upstream, event.incarnation)),
        )
    }

    private fun poll(state: HealthState, now: Duration): HealthStep {
        val count = state.upstreams.size
        if (count == 0) return Step(state)
        val gap = maxOf(settings.pollGap, settings.pollPeriod / count)
        val last = state.polledAt
        if (last != null && now - last < gap) return Step(state)
        val polled = state.copy(next = (state.next + 1) % count, polledAt = now)
        return Step(polled, persistentListOf(HealthAction.Poll(state.upstreams[state.next])))
    }
}

private typealias HealthStep = Step<HealthState, HealthAction>
