package org.bilberrycart.bench.routing

import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.AttemptOutcome
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.routing.LoadReport
import org.bilberrycart.routing.RoutingEvent
import org.bilberrycart.suspect.SuspectEvent

/** An event of a policy run, which happens at a point in time. */
internal sealed class PolicyRunEvent {
    data class RequestArrived(val arrival: Arrival) : PolicyRunEvent()

    /** [engine] produces the first token of [attempt], unless it has crashed since. */
    data class FirstTokenProduced(val engine: UpstreamId, val attempt: AttemptId) : PolicyRunEvent()

    /** [engine] produces the last token of [attempt], unless it has crashed since. */
    data class AttemptCompleted(val engine: UpstreamId, val attempt: AttemptId) : PolicyRunEvent()

    /** The node of [job] learns that its attempt on [engine] was lost. */
    data class AttemptLost(val engine: UpstreamId, val job: Job, val outcome: AttemptOutcome.Lost) :
        PolicyRunEvent()

    data class EngineCrash(val engine: UpstreamId) : PolicyRunEvent()

    data class EngineRestart(val engine: UpstreamId) : PolicyRunEvent()

    /** [engine] sends a load report, which arrives later. */
    data class SendLoadReport(val engine: UpstreamId) : PolicyRunEvent()

    /** A load report of [engine] arrives at all nodes. */
    data class LoadReportArrived(val engine: UpstreamId, val load: LoadReport) : PolicyRunEvent()

    /** Copy [number] of request body [killer], which crashes engines, is sent. */
    data class SendKiller(val killer: Int, val number: Int) : PolicyRunEvent()

    /** [event] arrives at the routing filter of [node] from another node. */
    data class RoutingGossip(val node: Int, val event: RoutingEvent) : PolicyRunEvent()

    /** [event] arrives at the suspect filter of [node] from another node. */
    data class SuspectGossip(val node: Int, val event: SuspectEvent) : PolicyRunEvent()

    /** Each node learns what the others use for each organisation. */
    data object ShareUsage : PolicyRunEvent()

    data object Tick : PolicyRunEvent()
}
