package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.gateway.model.CallKey
import org.bilberrycart.gateway.model.RetryRule
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then

/**
 * Checks calls and upstreams on each tick: deadlines, hedges, probes and waiting calls.
 *
 * The limits of silence are extended by the lag of this node, see [TickLag].
 */
internal class TimeoutChecks(
    private val settings: PlacementSettings,
    private val callPlacement: CallPlacement,
    private val lossRecovery: LossRecovery,
) {
    fun check(before: PlacementState, now: Duration): Step<PlacementState, PlacementAction> {
        val tickLag = before.tickLag.after(now, hasCalls = before.calls.isNotEmpty())
        val state = if (tickLag == before.tickLag) before else before.copy(tickLag = tickLag)
        val probeTimeout = settings.probeTimeout + tickLag.lag
        val probed = state.upstreams.values
            .filter { view -> view.probeSentAt?.let { now - it > probeTimeout } == true }
            .fold(Step<PlacementState, PlacementAction>(state)) { step, view ->
                step.then {
                    lossRecovery.upstreamDead(it, view.entry.id, "probe not answered", now)
                }
            }
        val isolated = probed.then { Isolation.check(it, now) }
        return state.calls.keys.fold(isolated) { step, key ->
            step.then { checkCall(it, key, now) }
        }
    }

    private fun checkCall(
        state: PlacementState,
        key: CallKey,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val call = state.calls[key] ?: return Step(state)
        return when {
            now >= call.call.deadline -> CallCompletion.fail(state, call, "time is over", now)
            call.isWaiting -> checkWaiting(state, call, now)
            else -> when (call.call.route.retryRule) {
                RetryRule.AtMostOnce -> Step(state)
                RetryRule.Idempotent -> checkRunning(state, call, now)
                is RetryRule.Stream -> checkStream(state, call, now)
            }
        }
    }

    private fun checkWaiting(
        state: PlacementState,
        call: ActiveCall,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val waited = now - call.call.arrivedAt
        val isTooLong =
            !call.isStreamOpen && waited > call.call.route.objective * settings.waitShare
        val placed = callPlacement.place(
            state,
            call,
            now,
            "waited ${waited.inWholeMilliseconds} ms",
        )
        val after = placed.state.calls[call.call.key]
        val hasNoUpstream = after?.isWaiting == true && after.overBudgetSince == null
        return when {
            isTooLong && hasNoUpstream ->
                CallCompletion.fail(state, call, "no upstream is free", now)
            else -> placed
        }
    }

    private fun checkRunning(
        state: PlacementState,
        call: ActiveCall,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val first = call.attempts.values.first()
        val isSlow = now - first.sentAt > call.call.route.objective * settings.hedgeShare
        return if (isSlow &&
            call.attempts.size == 1
        ) {
            callPlacement.hedge(state, call, now)
        } else {
            Step(state)
        }
    }

    private fun checkStream(
        state: PlacementState,
        call: ActiveCall,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val attempt = call.attempts.values.first()
        val view = state.upstreams[attempt.upstream]
        val silence = now - attempt.lastSeenAt - state.tickLag.lag
        val stallLimit = when {
            attempt.hasEvents -> settings.streamStall
            else -> call.call.route.objective * settings.startStall
        }
        val silenceLimit = if (attempt.hasEvents) settings.streamSilence else settings.startSilence
        return when {
            silence > stallLimit &&
                call.call.route.retryRule.isRetryable &&
                callPlacement.canPlace(state, call, now) ->
                lossRecovery.abandon(
                    state,
                    call,
                    attempt,
                    "silent for ${silence.inWholeMilliseconds} ms",
                    now,
                )
            view != null &&
                silence > silenceLimit &&
                now - view.lastSeenAt - state.tickLag.lag > silenceLimit ->
                probe(state, view, silence, now)
            else -> Step(state)
        }
    }

    private fun probe(
        state: PlacementState,
        view: UpstreamView,
        silence: Duration,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val isRecent = view.lastProbedAt?.let { now - it < settings.probeInterval } == true
        if (view.probeSentAt != null || isRecent || view.isPaused(now)) return Step(state)
        return Step(
            state.with(view.copy(probeSentAt = now, lastProbedAt = now)),
            persistentListOf(PlacementAction.Probe(view.entry, silence.inWholeMilliseconds)),
        )
    }
}
