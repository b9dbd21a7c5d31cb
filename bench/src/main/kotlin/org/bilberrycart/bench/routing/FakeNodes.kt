package org.bilberrycart.bench.routing

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.admission.AdmissionAction
import org.bilberrycart.admission.AdmissionEvent
import org.bilberrycart.admission.AdmissionFilter
import org.bilberrycart.admission.Usage
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.AttemptOutcome
import org.bilberrycart.model.Isolation
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.Placement
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.routing.LoadReport
import org.bilberrycart.routing.RoutingAction
import org.bilberrycart.routing.RoutingEvent
import org.bilberrycart.routing.RoutingFilter
import org.bilberrycart.suspect.SuspectAction
import org.bilberrycart.suspect.SuspectEvent
import org.bilberrycart.suspect.SuspectFilter

/** Joins the admission, suspect and routing filters of each node, as the pipeline does. */
internal class FakeNodes(
    fleet: FakeFleet,
    private val shape: FleetShape,
    seed: Long,
    private val recorder: RunRecorder,
    private val carryOut: (NodeAction) -> Unit,
) {
    private val admissionFilter = AdmissionFilter()
    private val suspectFilter = SuspectFilter()
    private val routingFilter = RoutingFilter()
    private var nodes: PersistentList<FakeNode> =
        List(shape.nodes) { fleet.node(it, seed) }.toPersistentList()

    fun arrive(arrival: Arrival, now: Duration) =
        admission(arrival.node, AdmissionEvent.Arrived(arrival.request), now)

    fun over(node: Int, request: RequestId, tokens: Int, now: Duration) =
        admission(node, AdmissionEvent.Ended(request, tokens), now)

    fun attemptEnded(
        node: Int,
        attempt: AttemptId,
        engine: UpstreamId,
        outcome: AttemptOutcome,
        now: Duration,
    ) {
        suspect(node, SuspectEvent.AttemptEnded(attempt, engine, outcome), now)
        routing(node, RoutingEvent.AttemptEnded(attempt, engine, outcome), now)
    }

    fun tick(now: Duration) = all { node ->
        suspect(node, SuspectEvent.Tick, now)
        routing(node, RoutingEvent.Tick, now)
    }

    fun report(engine: UpstreamId, load: LoadReport, now: Duration) = all { node ->
        val known = nodes[node].routing.upstreams.getValue(engine).incarnation
        if (load.incarnation > known) suspect(node, SuspectEvent.Returned(engine), now)
        routing(node, RoutingEvent.LoadReported(engine, load), now)
    }

    /** Tells each node what the others spend on each organisation. */
    fun shareUsage(now: Duration) {
        val usages = nodes.map { it.admission.usage(now) }
        for (organisation in 0 until shape.organisations) {
            val id = OrganisationId("o$organisation")
            val total = usages.mapNotNull { it[id] }.fold(Usage(), ::sum)
            all { node ->
                val own = usages[node][id] ?: Usage()
                admission(node, AdmissionEvent.PeerUsageReported(id, difference(total, own)), now)
            }
        }
    }

    /** Checks the invariants of all nodes. */
    fun check() = nodes.forEach {
        it.admission.checkCounts()
        it.routing.checkInFlight()
    }

    private fun all(act: (Int) -> Unit) = repeat(shape.nodes, act)

    fun admission(node: Int, event: AdmissionEvent, now: Duration) {
        val held = nodes[node]
        val step = admissionFilter.step(held.admission, event, now)
        nodes = nodes.set(node, held.copy(admission = step.state))
        step.actions.forEach { action ->
            when (action) {
                is AdmissionAction.Admit -> {
                    val first = AttemptId(action.request.id, epoch = 1, number = 1)
                    suspect(node, SuspectEvent.Place(Placement(first, action.request)), now)
                }

                is AdmissionAction.ReportUsage -> Unit

                is AdmissionAction.Refuse ->
                    carryOut(NodeAction.Fail(action.request, action.code))
            }
        }
    }

    fun suspect(node: Int, event: SuspectEvent, now: Duration) {
        val held = nodes[node]
        val step = suspectFilter.step(held.suspect, event, now)
        nodes = nodes.set(node, held.copy(suspect = step.state))
        step.actions.forEach { action ->
            when (action) {
                is SuspectAction.Place -> routing(node, RoutingEvent.Place(action.placement), now)

                is SuspectAction.Refuse ->
                    carryOut(NodeAction.Fail(action.request.id, action.code))

                is SuspectAction.Gossip -> {
                    val news = SuspectEvent.SuspectReported(
                        action.fingerprint,
                        action.crashes,
                        action.lifetime,
                    )
                    carryOut(NodeAction.TellSuspect(node, news))
                }
            }
        }
    }

    fun routing(node: Int, event: RoutingEvent, now: Duration) {
        val held = nodes[node]
        val step = routingFilter.step(held.routing, event, now)
        nodes = nodes.set(node, held.copy(routing = step.state))
        step.actions.forEach { routed(node, it, now) }
    }

    private fun routed(node: Int, action: RoutingAction, now: Duration) {
        when (action) {
            is RoutingAction.Dispatch -> {
                count(action.placement)
                val request = action.placement.request.id
                admission(node, AdmissionEvent.Started(request), now)
                carryOut(NodeAction.Send(node, action.placement, action.upstream.id))
            }

            is RoutingAction.Unplaceable -> {
                suspect(node, SuspectEvent.NotPlaced(action.attempt), now)
                carryOut(NodeAction.Fail(action.request.id, action.code))
            }

            is RoutingAction.ReportCapacity -> admission(
                node,
                AdmissionEvent.CapacityChanged(action.service, action.slots, action.usedByOthers),
                now,
            )

            is RoutingAction.AnnounceClosed -> {
                val news = RoutingEvent.UpstreamClosed(action.upstream, action.lifetime)
                carryOut(NodeAction.TellRouting(node, news))
            }
        }
    }

    private fun count(placement: Placement) {
        recorder.count(if (placement.attempt.number == 1) "first" else "retry")
        val isKiller = placement.request.fingerprint.value.startsWith(Arrivals.KILLER)
        if (placement.isolation == Isolation.ALONE && !isKiller) recorder.count("innocent alone")
    }

    private fun sum(a: Usage, b: Usage) = Usage(
        a.requestsPerSecond + b.requestsPerSecond,
        a.concurrent + b.concurrent,
        a.tokensPerMinute + b.tokensPerMinute,
        a.offered + b.offered,
    )

    private fun difference(a: Usage, b: Usage) = Usage(
        a.requestsPerSecond - b.requestsPerSecond,
        a.concurrent - b.concurrent,
        a.tokensPerMinute - b.tokensPerMinute,
        a.offered - b.offered,
    )
}
