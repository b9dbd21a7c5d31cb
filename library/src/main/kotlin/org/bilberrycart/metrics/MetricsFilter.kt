package org.bilberrycart.metrics

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then
import org.bilberrycart.pipeline.withActions

private typealias MetricsStep = Step<MetricsState, MetricsAction>

/**
 * Measures the latencies that callers experience.
 *
 * @property maxSeries the maximum number of organisations with their own histograms; all others
 *   share one series.
 * @property maxTracked the maximum number of requests in flight that are timed.
 */
public class MetricsFilter(private val maxSeries: Int, private val maxTracked: Int) :
    Filter<MetricsState, MetricsEvent, MetricsAction> {
    override fun step(state: MetricsState, event: MetricsEvent, now: Duration): MetricsStep =
        when (event) {
            is MetricsEvent.Admitted -> admitted(state, event)
            is MetricsEvent.Released -> released(state, event)
            is MetricsEvent.Ended -> ended(state, event)
            is MetricsEvent.Refused -> state.withActions(MetricsAction.CountResult(event.code))
            is MetricsEvent.Resumed -> resumed(state, event)
            is MetricsEvent.Lost -> state.withActions(MetricsAction.CountLoss(event.cause))
            MetricsEvent.StrayToken -> state.withActions(MetricsAction.CountStray)
            is MetricsEvent.InvariantBroken ->
                state.withActions(MetricsAction.CountInvariant(event.invariant))
            MetricsEvent.Tick -> endMinuteIfDue(state, now)
        }

    private fun admitted(state: MetricsState, event: MetricsEvent.Admitted): MetricsStep {
        val counted = state.copy(largest = state.largest.count(event.organisation, maxSeries))
        if (state.inFlight.size >= maxTracked) {
            return counted.withActions(MetricsAction.CountUntracked)
        }
        val times = RequestTimes(event.organisation, event.requestClass, event.arrivedAt)
        return Step(counted.copy(inFlight = counted.inFlight.put(event.request, times)))
    }

    private fun released(state: MetricsState, event: MetricsEvent.Released): MetricsStep {
        val counted = state.withActions(MetricsAction.CountTokens(event.tokens))
        val times = state.inFlight[event.request] ?: return counted
        val next = times.copy(lastTokenAt = event.at)
        return counted
            .then { Step(it.copy(inFlight = it.inFlight.put(event.request, next))) }
            .then { observeTokens(it, times, event) }
    }

    private fun observeTokens(
        state: MetricsState,
        times: RequestTimes,
        event: MetricsEvent.Released,
    ): MetricsStep {
        val last = times.lastTokenAt
        val first = when (last) {
            null -> observe(state, times, Measure.FIRST_TOKEN, event.at - times.arrivedAt)
            else -> observe(state, times, Measure.INTER_TOKEN, event.at - last)
        }
        // Tokens released together reach the caller without a wait between them.
        val others = event.tokens - 1
        if (others <= 0) return first
        return first.then { observe(it, times, Measure.INTER_TOKEN, Duration.ZERO, others) }
    }

    private fun ended(state: MetricsState, event: MetricsEvent.Ended): MetricsStep {
        val counted = state.copy(inFlight = state.inFlight.remove(event.request))
            .withActions<MetricsState, MetricsAction>(MetricsAction.CountResult(event.code))
        val times = state.inFlight[event.request]
        if (times == null || event.code != null) return counted
        return counted.then {
            observe(it, times, Measure.WHOLE_ANSWER, event.at - times.arrivedAt)
        }
    }

    private fun resumed(state: MetricsState, event: MetricsEvent.Resumed): MetricsStep {
        val counted = state.withActions<MetricsState, MetricsAction>(MetricsAction.CountResume)
        val times = state.inFlight[event.request] ?: return counted
        return counted.then { observe(it, times, Measure.RESUME, event.latency) }
    }

    private fun observe(
        state: MetricsState,
        times: RequestTimes,
        measure: Measure,
        wait: Duration,
        count: Int = 1,
    ): MetricsStep {
        val key = MinutePercentiles.Key(times.requestClass, measure)
        val series = state.largest.seriesOf(times.organisation)
        return Step(
            state.copy(minutes = state.minutes.add(key, wait, count)),
            persistentListOf(
                MetricsAction.Observe(series, times.requestClass, measure, wait, count),
            ),
        )
    }

    private fun endMinuteIfDue(state: MetricsState, now: Duration): MetricsStep {
        if (now - state.minuteStart < MINUTE) return Step(state)
        val ranking = state.largest.endMinute(maxSeries)
        val minutes = state.minutes.endMinute()
        val next = state.copy(
            inFlight = state.inFlight.filterValues { now - it.arrivedAt < MAX_REQUEST_AGE }
                .toPersistentMap(),
            largest = ranking.organisations,
            minutes = minutes,
            minuteStart = now,
        )
        val removed = ranking.removed
            .map { MetricsAction.RemoveSeries(OrganisationSeries.Named(it)) }
        val worst = minutes.worst().map { (key, wait) ->
            MetricsAction.SetWorstMinute(key.requestClass, key.measure, wait)
        }
        return Step(next, (removed + worst).toPersistentList())
    }

    private companion object {
        val MINUTE = 1.minutes

        /**
         * The age at which a request is dropped, because the full ring rejected its end event.
         *
         * It is longer than the default maximum deadline of 60 minutes.
         */
        val MAX_REQUEST_AGE = 2.hours
    }
}
