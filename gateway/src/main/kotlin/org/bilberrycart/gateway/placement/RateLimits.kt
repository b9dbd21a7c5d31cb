package org.bilberrycart.gateway.placement

import kotlin.time.Duration
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
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val upstream = state.calls[attempt.call]?.attempts?.get(attempt.number)?.upstream
        val view = state.upstreams[upstream] ?: return Step(state)
        val known = view.rateLimit
        return when {
            known?.perSecond == limit -> Step(state)
            limit == null -> state.with(view.copy(rateLimit = null))
                .withActions(changed(view, "unlimited", "was ${known?.perSecond} a second"))
            known == null -> state.with(view.copy(rateLimit = state.named(view, limit, now)))
                .withActions(changed(view, "limited", "$limit a second of all nodes"))
            else -> {
                val changed = known.changedTo(limit, state.quota(view, known.perSecond), now)
                Step(state.with(view.copy(rateLimit = changed)))
            }
        }
    }

    private fun PlacementState.named(view: UpstreamView, limit: Double, now: Duration) =
        RateLimit(limit, savedAt = now, lastSentAt = now + quota(view, limit).trialOffset)

    private fun changed(view: UpstreamView, status: String, why: String): PlacementAction =
        PlacementAction.UpstreamStatusChanged(view.entry.id, status, why)
}

/** Returns this node's part of [limit] requests a second to the upstream of [view]. */
internal fun PlacementState.quota(view: UpstreamView, limit: Double): RateQuota =
    RateQuota.of(limit, view.rank, nodeCount)

/** Returns how long this node has to wait until the upstream of [view] takes a request of it. */
internal fun PlacementState.quotaWait(view: UpstreamView, now: Duration): Duration =
    view.rateLimit?.let { it.waitTime(quota(view, it.perSecond), now) } ?: Duration.ZERO

/** Returns this state after a request was sent to the upstream of [view]. */
internal fun PlacementState.withQuotaSpent(view: UpstreamView, now: Duration): PlacementState {
    val limit = view.rateLimit ?: return this
    val spent = limit.spent(quota(view, limit.perSecond), now)
    return update(view.entry.id) { it.copy(rateLimit = spent) }
}
