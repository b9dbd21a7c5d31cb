package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then
import org.bilberrycart.pipeline.withActions

/**
 * Finds out whether this node has lost its links to the upstreams, and when it has them again.
 *
 * A single upstream may fail by itself. If several have been lost and none was heard since, the
 * fault lies with this node's links. It then tells its peers of no losses, forwards calls to them
 * and checks one upstream after the other.
 */
internal object Isolation {
    private const val MIN_LOST = 3
    private val MIN_SILENCE = 300.milliseconds
    private val PROBE_INTERVAL = 250.milliseconds

    /** Notes whether the node is isolated at [now], and probes an upstream if it is. */
    fun check(state: PlacementState, now: Duration): Step<PlacementState, PlacementAction> {
        val isIsolated = isIsolated(state, now)
        val noted = when (isIsolated) {
            state.isIsolated -> Step(state)
            else -> state.copy(isIsolated = isIsolated)
                .withActions(PlacementAction.IsolationChanged(isIsolated))
        }
        return if (isIsolated) noted.then { probe(it, now) } else noted
    }

    private fun isIsolated(state: PlacementState, now: Duration): Boolean {
        // The registry changes far less often than this is called, and most nodes lose nothing.
        if (!state.isIsolated && state.upstreams.values.none { it.failures > 0 }) return false
        val views = state.upstreams.values.filterNot { it.isLeaving || it.isReplaced }
        val heardAt = views.maxOfOrNull { it.lastSeenAt } ?: return false
        val lost = views.count { it.failures > 0 && it.failedAt >= heardAt }
        return now - heardAt >= MIN_SILENCE && lost >= MIN_LOST
    }

    private fun probe(
        state: PlacementState,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val views = state.upstreams.values.filterNot { it.isLeaving || it.isReplaced }
        val lastProbe = views.mapNotNull { it.lastProbedAt }.maxOrNull()
        val isEarly = lastProbe != null && now - lastProbe < PROBE_INTERVAL
        val next = views.filter { it.probeSentAt == null && !it.isPaused(now) }
            .minByOrNull { it.lastProbedAt ?: Duration.ZERO }
        if (isEarly || next == null) return Step(state)
        val silence = (now - next.lastSeenAt).inWholeMilliseconds
        return Step(
            state.with(next.copy(probeSentAt = now, lastProbedAt = now)),
            persistentListOf(PlacementAction.Probe(next.entry, silence)),
        )
    }
}
