package org.bilberrycart.gateway.node

import kotlin.time.Duration.Companion.milliseconds
import org.bilberrycart.gateway.entry.EntryAction
import org.bilberrycart.gateway.http.OpenExchanges
import org.bilberrycart.gateway.lifecycle.LifecycleEvent
import org.bilberrycart.gateway.model.Refusal
import org.bilberrycart.gateway.model.RequestLimits
import org.bilberrycart.gateway.model.RoutedCall
import org.bilberrycart.gateway.placement.PlacementEvent

/** Executes entry's actions: passes calls to placement or refuses them. */
internal class EntrySink(
    private val rings: GatewayRings,
    private val exchanges: OpenExchanges,
    private val log: DecisionLog,
    private val setLimits: (RequestLimits) -> Unit,
) : (EntryAction) -> Unit {
    override fun invoke(action: EntryAction) {
        log.entry(action)
        when (action) {
            is EntryAction.Forward -> forward(action.call)
            is EntryAction.ReportGone -> rings.placement.put(PlacementEvent.CallerGone(action.key))
            is EntryAction.Refuse ->
                exchanges.refuse(action.key, action.head.requestId, action.refusal)
            is EntryAction.ConfigurationApplied -> {
                setLimits(action.configuration.limits)
                rings.lifecycle.put(LifecycleEvent.Configured)
            }
        }
    }

    /**
     * Passes [call] to placement, or refuses it if placement is behind.
     *
     * Waiting instead would hold what follows in the ring, such as a new configuration.
     */
    private fun forward(call: RoutedCall) {
        if (rings.placement.offer(PlacementEvent.Submit(call))) return
        log.placementFull(call)
        exchanges.refuse(call.key, call.head.requestId, PLACEMENT_FULL)
    }

    private companion object {
        val PLACEMENT_FULL = Refusal.NotRun("placement is behind", retryAfter = 500.milliseconds)
    }
}
