package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.gateway.model.CallKey
import org.bilberrycart.gateway.model.RepeatRule
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then

/** What follows from the passing of time: time-outs, hedges, probes and the end of waiting. */
internal class Ticks(
    private val settings: PlacementSettings,
    private val placing: Placing,
    private val losses: Losses,
) {
    fun tick(state: PlacementState, now: Duration): Step<PlacementState, PlacementAction> {
        val probed = state.upstreams.values
            .filter { view -> view.probeSentAt?.let { now - it > settings.probeTimeout } == true }
            .fold(Step<PlacementState, PlacementAction>(state)) { step, view ->
                step.then { losses.dead(it, view.entry.id, "probe not answered", now) }
            }
        return state.calls.keys.fold(probed) { step, key ->
            step.then { look(it, key, now) }
        }
    }

    private fun look(
        state: PlacementState,
        key: CallKey,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val call = state.calls[key] ?: return Step(state)
        return when {
            now >= call.call.endsAt -> Ending.giveUp(state, call, "time is over", now)
            call.isWaiting -> waiting(state, call, now)
            else -> when (call.call.route.repeat) {
                RepeatRule.Once -> Step(state)
                RepeatRule.Idempotent -> running(state, call, now)
                is RepeatRule.Stream -> streaming(state, call, now)
            }
        }
    }

    private fun waiting(
        state: PlacementState,
        call: CallState,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val waited = now - call.call.arrivedAt
        val isTooLong = !call.isOpen && waited > call.call.route.objective * settings.waitShare
        val placed = placing.place(state, call, now, "waited ${waited.inWholeMilliseconds} ms")
        return when {
            isTooLong && placed.state.calls[call.call.key]?.isWaiting == true ->
                Ending.giveUp(state, call, "no upstream is free", now)
            else -> placed
        }
    }

    private fun running(
        state: PlacementState,
        call: CallState,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val first = call.attempts.values.first()
        val isSlow = now - first.sentAt > call.call.route.objective * settings.hedgeShare
        return if (isSlow &&
            call.attempts.size == 1
        ) {
            placing.hedge(state, call, now)
        } else {
            Step(state)
        }
    }

    private fun streaming(
        state: PlacementState,
        call: CallState,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val attempt = call.attempts.values.first()
        val view = state.upstreams[attempt.upstream] ?: return Step(state)
        val silent = now - attempt.heardAt
        val stall = when {
            attempt.hasEvents -> settings.streamStall
            else -> call.call.route.objective * settings.startStall
        }
        val patience = if (attempt.hasEvents) settings.streamSilence else settings.startSilence
        return when {
            silent > stall && call.hasAttemptsLeft && call.call.route.repeat.mayRunAgain ->
                losses.abandon(
                    state,
                    call,
                    attempt,
                    "silent for ${silent.inWholeMilliseconds} ms",
                    now,
                )
            silent > patience && now - view.heardAt > patience -> probe(state, view, silent, now)
            else -> Step(state)
        }
    }

    private fun probe(
        state: PlacementState,
        view: UpstreamView,
        silent: Duration,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val isRecent = view.probedAt?.let { now - it < settings.probeInterval } == true
        if (view.probeSentAt != null || isRecent) return Step(state)
        return Step(
            state.with(view.copy(probeSentAt = now, probedAt = now)),
            persistentListOf(PlacementAction.Probe(view.entry, silent.inWholeMilliseconds)),
        )
    }
}
