package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.gateway.model.AttemptKey
import org.bilberrycart.gateway.model.RepeatRule
import org.bilberrycart.gateway.model.UpstreamId
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then

/** What follows when an attempt or an upstream is lost. */
internal class Losses(private val settings: PlacementSettings, private val placing: Placing) {
    /** Nothing of attempt [key] reached its upstream: it goes elsewhere. */
    fun unsent(
        state: PlacementState,
        key: AttemptKey,
        cause: String,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val call = state.calls[key.call] ?: return Step(state)
        val attempt = call.attempts[key.number] ?: return Step(state)
        return down(state, attempt.upstream, cause, now).then { next ->
            val left = call.copy(
                attempts = call.attempts.remove(attempt.number),
                arrivals = call.arrivals - 1,
                runs = call.runs - 1,
            )
            val free = placing.refunded(next.counted(attempt, -1), left, attempt, now)
            again(free, left, now, "unsent, $cause")
        }
    }

    /** The upstream broke off attempt [key], which may have run. */
    fun broken(
        state: PlacementState,
        key: AttemptKey,
        cause: String,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val call = state.calls[key.call] ?: return Step(state)
        val attempt = call.attempts[key.number] ?: return Step(state)
        val marked = when (call.call.route.repeat) {
            is RepeatRule.Stream -> down(state, attempt.upstream, cause, now)
            RepeatRule.Idempotent, RepeatRule.Once ->
                Step(state.update(attempt.upstream) { it.failed(now) })
        }
        return marked.then { lost(it, call, attempt, cause, now) }
    }

    /** Breaks off [attempt], which has fallen silent, and goes on elsewhere. */
    fun abandon(
        state: PlacementState,
        call: CallState,
        attempt: Attempt,
        why: String,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val cancel = PlacementAction.Cancel(
            AttemptKey(call.call.key, attempt.number),
            attempt.upstream,
            why,
        )
        return Step(
            state.update(attempt.upstream) { it.failed(now) },
            persistentListOf<PlacementAction>(cancel),
        ).then { lost(it, call, attempt, why, now) }
    }

    /** The upstream [id] answers nobody: whatever may run again goes elsewhere. */
    fun dead(
        state: PlacementState,
        id: UpstreamId,
        cause: String,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val concerned = state.calls.values.filter { call ->
            call.call.route.repeat.mayRunAgain && id in call.upstreams()
        }
        return concerned.fold(down(state, id, cause, now)) { step, call ->
            val attempt = call.attempts.values.first { it.upstream == id }
            step.then { next -> abandon(next, call, attempt, cause, now) }
        }
    }

    private fun lost(
        state: PlacementState,
        call: CallState,
        attempt: Attempt,
        cause: String,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val copy = attempt.backup?.takeIf { attempt.hasEvents }
            ?.let { MemoryCopy(it, call.call.head.requestId) }
        val left = call.copy(
            attempts = call.attempts.remove(attempt.number),
            losses = call.losses + 1,
            silentSince = (call.silentSince ?: attempt.heardAt).takeIf { call.isOpen },
            copy = copy ?: call.copy,
        )
        return again(state.counted(attempt, -1), left, now, "lost, $cause")
    }

    /** Goes on with [call] after one of its attempts is over. */
    fun again(
        state: PlacementState,
        call: CallState,
        now: Duration,
        why: String,
    ): Step<PlacementState, PlacementAction> = when {
        call.attempts.isNotEmpty() -> Step(state.with(call))
        call.runs > 0 && !call.call.route.repeat.mayRunAgain ->
            Ending.giveUp(state.with(call), call, why, now)
        else -> placing.place(state, call, now, why)
    }

    private fun down(
        state: PlacementState,
        id: UpstreamId,
        cause: String,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val view = state.upstreams[id] ?: return Step(state)
        val doubled = settings.firstDown * (1 shl minOf(view.failures, MAX_DOUBLINGS))
        val until = now + minOf(doubled, settings.longestDown)
        val next = view.failed(now)
            .copy(failures = view.failures + 1, downUntil = until, probeSentAt = null)
        val belief = PlacementAction.Believe(id, "down", cause)
        return Step(
            state.with(next),
            if (view.failures == 0) persistentListOf(belief) else persistentListOf(),
        )
    }

    private companion object {
        const val MAX_DOUBLINGS = 4
    }
}
