package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.gateway.model.AttemptKey
import org.bilberrycart.gateway.model.PartReport
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then

/**
 * Keeps the [PartHistory] of placement: records crashes and answers, and fails the calls in
 * progress that can't succeed once a part of their prompt is blocked.
 */
internal object PartChecks {
    /** How long after its head an answer counts as just begun. */
    private val START_PERIOD = 250.milliseconds

    /** Records a crash if the upstream of attempt [key] failed as it began to answer. */
    fun attemptFailed(
        state: PlacementState,
        key: AttemptKey,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val call = state.calls[key.call] ?: return Step(state)
        val attempt = call.attempts[key.number]?.takeUnless { it.isForwarded }
            ?: return Step(state)
        val parts = call.call.head.sharedParts
        val isAtStart = attempt.headAt?.let { now - it < START_PERIOD } == true
        if (!isAtStart || parts.isEmpty()) return Step(state)
        return changed(state, state.parts.withCrash(attempt.upstream, parts, now))
    }

    /** Merges what other nodes report. */
    fun reported(
        state: PlacementState,
        reports: List<PartReport>,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        if (reports.isEmpty()) return Step(state)
        val merged = reports.fold(state.parts) { history, report ->
            history.withReport(report, now)
        }
        return changed(state, merged)
    }

    /** Records an answer once the stream of [attempt], as it was before, is past its start. */
    fun streamProgressed(
        state: PlacementState,
        call: ActiveCall,
        attempt: Attempt,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val headAt = attempt.headAt ?: return Step(state)
        val wasAtStart = attempt.lastSeenAt - headAt < START_PERIOD
        val isSound = wasAtStart && now - headAt >= START_PERIOD
        return if (isSound) answered(state, call, now) else Step(state)
    }

    /** Records a complete answer to [call]. */
    fun answered(
        state: PlacementState,
        call: ActiveCall,
        now: Duration,
    ): Step<PlacementState, PlacementAction> =
        changed(state, state.parts.withAnswer(call.call.head.sharedParts, now))

    private fun changed(
        state: PlacementState,
        history: PartHistory,
    ): Step<PlacementState, PlacementAction> {
        val before = state.parts.blocked.keys
        val after = history.blocked.keys
        val next = state.copy(parts = history)
        if (before == after) return Step(next)
        val blocked = (after - before).map { part ->
            PlacementAction.PartBlocked(part, history.crashes.filter { part in it.parts })
        }
        val released = (before - after).map { PlacementAction.PartReleased(it) }
        return Step(next, (blocked + released).toPersistentList<PlacementAction>())
    }

    /**
     * Fails the calls of which no upstream has sent an event and whose prompt has a blocked part,
     * if other parts are blocked in [state] than in [before].
     */
    fun failUnbegun(
        before: PartHistory,
        state: PlacementState,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        if (before.blocked == state.parts.blocked) return Step(state)
        return state.calls.values
            .filter { call -> call.attempts.values.none { it.hasEvents } }
            .filter { state.parts.blockedAmong(it.call.head.sharedParts, now) != null }
            .fold(Step(state)) { step, call ->
                step.then {
                    CallCompletion.fail(it, call, "upstreams crash on a part of the prompt", now)
                }
            }
    }
}
