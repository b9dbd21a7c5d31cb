package org.bilberrycart.gateway.node

import org.bilberrycart.gateway.http.OpenExchanges
import org.bilberrycart.gateway.http.UpstreamClient
import org.bilberrycart.gateway.metrics.GatewayMetrics
import org.bilberrycart.gateway.relay.RelayAction
import org.bilberrycart.pipeline.Clock

/** Executes the relay's actions: sends calls to upstreams and their streams to callers. */
internal class RelaySink(
    private val rings: GatewayRings,
    private val exchanges: OpenExchanges,
    private val upstreams: UpstreamClient,
    private val metrics: GatewayMetrics,
    private val log: DecisionLog,
    private val clock: Clock,
) : (RelayAction) -> Unit {
    override fun invoke(action: RelayAction): Unit = when (action) {
        is RelayAction.Send -> send(action)
        is RelayAction.Open -> {
            val elapsed = clock.now() - action.call.arrivedAt
            metrics.answered(action.call.organisation, elapsed)
            log.streamOpened(action, clock.now())
            exchanges.open(action.call.key, action.head)
        }
        is RelayAction.Write -> exchanges.write(action.attempt.call, action.bytes) {
            upstreams.demand(action.attempt)
        }
        is RelayAction.Demand -> upstreams.demand(action.attempt)
        is RelayAction.Drop -> upstreams.cancel(action.attempt, action.why)
        is RelayAction.Complete -> exchanges.complete(action.key)
        is RelayAction.Abort -> exchanges.abort(action.key, "broken off")
        is RelayAction.Report -> Unit.also { rings.placement.putBulk(action.event) }
    }

    /** Sends the attempt, unless its caller has left; placement is told of that by the exchange. */
    private fun send(action: RelayAction.Send) {
        if (!exchanges.beginSend(action.order.attempt.call)) return
        upstreams.send(action.order, action.lastEvent)
    }
}
