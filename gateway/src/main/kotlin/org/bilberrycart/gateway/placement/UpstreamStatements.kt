package org.bilberrycart.gateway.placement

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then
import org.bilberrycart.pipeline.withActions

/**
 * Records what upstreams state of themselves in their answers: that they leave, or that they want
 * no requests for a while.
 */
internal object UpstreamStatements {
    fun stated(
        state: PlacementState,
        event: PlacementEvent.UpstreamStated,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val view = state.upstreams[event.upstream] ?: return Step(state)
        val left = if (event.isLeaving && !view.saysLeaving) leaves(state, view) else Step(state)
        val pause = event.pause ?: return left
        return left.then { paused(it, event, pause, now) }
    }

    /** The statement holds for the incarnation, also if its entry disappears and comes back. */
    private fun leaves(
        state: PlacementState,
        view: UpstreamView,
    ): Step<PlacementState, PlacementAction> {
        val leaving = (state.leaving + Incarnation.of(view.entry)).takeLast(MAX_LEAVING)
        return state.copy(leaving = leaving.toPersistentList())
            .with(view.copy(saysLeaving = true))
            .withActions(changed(view, "leaving", "its own answer"))
    }

    /**
     * Pauses the upstream for [pause] and a little more, so that nodes return one by one. A later
     * statement replaces an earlier one.
     */
    private fun paused(
        state: PlacementState,
        event: PlacementEvent.UpstreamStated,
        pause: Duration,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val random = Random(state.seed)
        val bounded = minOf(pause, MAX_PAUSE)
        val until = now + bounded * (1 + random.nextDouble() * RETURN_SPREAD)
        val view = state.upstreams.getValue(event.upstream)
        return state.copy(seed = random.nextLong())
            .with(view.copy(pausedUntil = until))
            .withActions(changed(view, "paused", "for $bounded, said $pause"))
    }

    private fun changed(view: UpstreamView, status: String, why: String): PlacementAction =
        PlacementAction.UpstreamStatusChanged(view.entry.id, status, why)

    private const val MAX_LEAVING = 512
    private const val RETURN_SPREAD = 0.1

    /** A longer pause is taken for a mistake; the upstream states it again if it means it. */
    private val MAX_PAUSE = 60.seconds
}
