package org.bilberrycart.gateway.node

import org.bilberrycart.gateway.entry.EntryEvent
import org.bilberrycart.gateway.entry.RequestIntake
import org.bilberrycart.gateway.http.OpenExchanges
import org.bilberrycart.gateway.lifecycle.LifecycleAction
import org.bilberrycart.gateway.placement.PlacementEvent

/**
 * Executes the lifecycle's actions: limits what entry takes, and ends what is open at the end.
 *
 * @property setReady sets whether the node says that it is ready.
 * @property onExit called once all answers are complete or cut, so that the process may end.
 */
internal class LifecycleSink(
    private val rings: GatewayRings,
    private val exchanges: OpenExchanges,
    private val log: DecisionLog,
    private val setReady: (Boolean) -> Unit,
    private val stopAccepting: () -> Unit,
    private val onExit: () -> Unit,
) : (LifecycleAction) -> Unit {
    override fun invoke(action: LifecycleAction) {
        log.lifecycle(action)
        when (action) {
            is LifecycleAction.Ready -> setReady(action.isReady)
            LifecycleAction.RefuseStreams -> limitIntake(RequestIntake.CallsOnly)
            is LifecycleAction.RefuseLongCalls ->
                limitIntake(RequestIntake.ShortCallsOnly(action.until))
            LifecycleAction.StopAccepting -> {
                limitIntake(RequestIntake.None)
                stopAccepting()
            }
            is LifecycleAction.BreakOff -> rings.placement.put(PlacementEvent.NodeStops)
            is LifecycleAction.Exit -> {
                exchanges.abortAll("the node stops")
                onExit()
            }
        }
    }

    private fun limitIntake(intake: RequestIntake) =
        rings.entry.put(EntryEvent.IntakeLimited(intake))
}
