package org.bilberrycart.gateway.node

import kotlin.time.Duration
import org.bilberrycart.gateway.http.OpenExchanges
import org.bilberrycart.gateway.http.UpstreamClient
import org.bilberrycart.gateway.metrics.GatewayMetrics
import org.bilberrycart.gateway.model.RetryRule
import org.bilberrycart.gateway.model.ServingConfiguration
import org.bilberrycart.gateway.model.StreamOrigin
import org.bilberrycart.gateway.origins.OriginsEvent
import org.bilberrycart.gateway.placement.ActiveCall
import org.bilberrycart.gateway.placement.PlacementAction
import org.bilberrycart.gateway.placement.PlacementEvent
import org.bilberrycart.gateway.relay.RelayEvent
import org.bilberrycart.pipeline.Clock

/** Logs, counts and executes placement's actions on the relay, the upstreams or the caller. */
internal class PlacementSink(
    private val rings: GatewayRings,
    private val exchanges: OpenExchanges,
    private val upstreams: UpstreamClient,
    private val metrics: GatewayMetrics,
    private val log: DecisionLog,
    private val clock: Clock,
    private val probeTimeout: Duration,
    private val configuration: () -> ServingConfiguration?,
) : (PlacementAction) -> Unit {
    override fun invoke(action: PlacementAction) {
        log.placement(action, clock.now())
        count(action)
        when (action) {
            is PlacementAction.Send -> {
                noteOrigin(action)
                rings.relay.put(RelayEvent.Begin(action.order))
            }
            is PlacementAction.SeekOrigin -> {
                val call = action.call.call
                val begun = call.head.continuedRequest ?: call.head.requestId
                rings.origins.put(OriginsEvent.Sought(call.key, begun, call.service.name))
            }
            is PlacementAction.Cancel ->
                rings.relay.put(RelayEvent.Cancel(action.attempt, action.why))
            is PlacementAction.Deliver -> {
                exchanges.deliver(action.call.call.key, action.answer)
                stopStream(action.call, isAborted = false)
            }
            is PlacementAction.Refuse -> {
                val call = action.call.call
                exchanges.refuse(call.key, call.head.requestId, action.refusal)
                stopStream(action.call, isAborted = false)
            }
            is PlacementAction.Abort -> stopStream(action.call, isAborted = true)
            is PlacementAction.Forget -> stopStream(action.call, isAborted = true)
            is PlacementAction.Probe -> upstreams.probe(action.upstream, probeTimeout)
            is PlacementAction.Identify -> identify(action)
            is PlacementAction.UpstreamStatusChanged,
            is PlacementAction.Resumed,
            is PlacementAction.RetryRefused,
            is PlacementAction.CrashRecorded,
            is PlacementAction.IsolationChanged,
            is PlacementAction.PartBlocked,
            is PlacementAction.PartReleased,
            -> Unit
        }
    }

    /** Tells where a stream from its start is sent, which another node may go on with. */
    private fun noteOrigin(action: PlacementAction.Send) {
        val order = action.order
        val isStream = order.call.route.retryRule is RetryRule.Stream
        if (!isStream || order.isForwarded || order.call.head.lastEvent != null) return
        val begun = order.origin as? StreamOrigin.BegunAt
        val version = if (begun == null) order.upstream.softwareVersion else begun.softwareVersion
        val service = order.call.service.name
        rings.origins.put(OriginsEvent.Sent(order.call.head.requestId, service, version))
    }

    private fun identify(action: PlacementAction.Identify) {
        upstreams.identify(action.replaced, probeTimeout) { report ->
            val service = report?.let { configuration()?.serviceOf(it.models) }
            rings.placement.put(
                PlacementEvent.Identified(
                    action.replaced.id,
                    action.id,
                    service,
                    report?.startedAtMillis,
                ),
            )
        }
    }

    private fun stopStream(state: ActiveCall, isAborted: Boolean) {
        rings.relay.put(RelayEvent.Stop(state.call.key, isAborted))
    }

    private fun count(action: PlacementAction): Unit = when (action) {
        is PlacementAction.Send -> metrics.sent(
            action.order.call.service.name.value,
            isRetry = action.order.isRetry,
        )
        is PlacementAction.Deliver -> {
            val call = action.call.call
            metrics.answered(call.organisation, clock.now() - call.arrivedAt)
            countEnded(action.call, "status_${action.answer.head.status}")
        }
        is PlacementAction.Refuse -> countEnded(action.call, "code_${action.refusal.code}")
        is PlacementAction.Abort -> countEnded(action.call, "broken_off")
        is PlacementAction.Forget -> countEnded(action.call, action.why.replace(' ', '_'))
        is PlacementAction.UpstreamStatusChanged -> metrics.statusChanged("upstream", action.status)
        is PlacementAction.Probe -> metrics.statusChanged("upstream", "probed")
        is PlacementAction.Identify -> metrics.statusChanged("upstream", "asked_who")
        is PlacementAction.RetryRefused ->
            metrics.retryRefused(action.call.call.service.name.value)
        is PlacementAction.Resumed -> metrics.resumed(action.pause)
        is PlacementAction.CrashRecorded -> metrics.statusChanged("call", "broke_off_at_start")
        is PlacementAction.IsolationChanged ->
            metrics.statusChanged("upstreams", if (action.isIsolated) "unreachable" else "reached")
        is PlacementAction.PartBlocked -> metrics.statusChanged("prompt_part", "blocked")
        is PlacementAction.PartReleased -> metrics.statusChanged("prompt_part", "released")
        is PlacementAction.SeekOrigin -> metrics.statusChanged("stream", "taken_up")
        is PlacementAction.Cancel -> Unit
    }

    private fun countEnded(state: ActiveCall, outcome: String) =
        metrics.ended(state.call.route.name, outcome, clock.now() - state.call.arrivedAt)
}
