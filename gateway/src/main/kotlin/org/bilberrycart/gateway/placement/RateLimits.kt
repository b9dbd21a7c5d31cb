package org.bilberrycart.gateway.placement

import org.bilberrycart.gateway.model.AttemptKey
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.withActions

/** Records the rate limits that upstreams name in their answers. */
internal object RateLimits {
    /** Records that the answer to [attempt] names [limit], or none. */
    fun answered(
        state: PlacementState,
        attempt: AttemptKey,
        limit: Double?,
    ): Step<PlacementState, PlacementAction> {
        val upstream = state.calls[attempt.call]?.attempts?.get(attempt.number)?.upstream
        val view = state.upstreams[upstream] ?: return Step(state)
        if (view.rateLimit == limit) return Step(state)
        val next = state.with(view.copy(rateLimit = limit))
        val change = when {
            limit == null -> changed(view, "unlimited", "was ${view.rateLimit} a second")
            view.rateLimit == null -> changed(view, "limited", "$limit a second")
            else -> return Step(next)
        }
        return next.withActions(change)
    }

    private fun changed(view: UpstreamView, status: String, why: String): PlacementAction =
        PlacementAction.UpstreamStatusChanged(view.entry.id, status, why)
}
