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

/**
 * Connects the admission, suspect and routing filters of each node as the pipeline does.
 *
 * What the filters ask for outside of their node goes to [onAction].
 */
internal class FakeNodes(
    fleet: FakeFleet,
    private val shape: FleetShape,
    seed: Long,
    private val recorder: PolicyRunRecorder,
    private val onAction: (NodeAction) -> Unit,
) {
    private val admissionFilter = AdmissionFilter()
    private val suspectFilter = SuspectFilter()
    private val routingFilter = RoutingFilter()
    private var nodes: PersistentList<FakeNode> =
        List(shape.nodes) { fleet.node(it, seed) }.toPersistentList()

    fun requestArrived(arrival: Arrival, now: Duration) =
        handleAdmission(arrival.node, AdmissionEvent.Arrived(arrival.request), now)

    fun requestEnded(node: Int, request: RequestId, tokens: Int, now: Duration) =
        handleAdmission(node, AdmissionEvent.Ended(request, tokens), now)

    fun attemptEnded(
        node: Int,
        attempt: AttemptId,
        engine: UpstreamId,
        outcome: AttemptOutcome,
        now: Duration,
    ) {
        handleSuspect(node, SuspectEvent.AttemptEnded(attempt, engine, outcome), now)
        handleRouting(node, RoutingEvent.AttemptEnded(attempt, engine, outcome), now)
    }

    fun tick(now: Duration) = forEachNode { node ->
        handleSuspect(node, SuspectEvent.Tick, now)
        handleRouting(node, RoutingEvent.Tick, now)
    }

    fun loadReported(engine: UpstreamId, load: LoadReport, now: Duration) = forEachNode { node ->
        val known = nodes[node].routing.upstreams.getValue(engine).incarnation
        if (load.incarnation > known) handleSuspect(node, SuspectEvent.Returned(engine), now)
        handleRouting(node, RoutingEvent.LoadReported(engine, load), now)
    }

    /** Reports to each node what the other nodes use for each organisation. */
    fun shareUsage(now: Duration) {
        val usages = nodes.map { it.admission.usage(now) }
        for (organisation in 0 until shape.organisations) {
            val id = OrganisationId("o$organisation")
            val total = usages.mapNotNull { it[id] }.fold(Usage(), ::sum)
            forEachNode { node ->
                val own = usages[node][id] ?: Usage()
                handleAdmission(
                    node,
                    AdmissionEvent.PeerUsageReported(id, difference(total, own)),
                    now,
                )
            }
        }
    }

    /** Checks the invariants of the admission and routing state of all nodes. */
    fun checkInvariants() = nodes.forEach {
        it.admission.checkCounts()
        it.routing.checkInFlight()
    }

    private fun forEachNode(act: (Int) -> Unit) = repeat(shape.nodes, act)

    /** Passes [event] to the admission filter of [node] and handles what the filter returns. */
    fun handleAdmission(node: Int, event: AdmissionEvent, now: Duration) {
        val current = nodes[node]
        val step = admissionFilter.step(current.admission, event, now)
        nodes = nodes.set(node, current.copy(admission = step.state))
        step.actions.forEach { action ->
            when (action) {
                is AdmissionAction.Admit -> {
                    val first = AttemptId(action.request.id, epoch = 1, number = 1)
                    handleSuspect(node, SuspectEvent.Place(Placement(first, action.request)), now)
                }

                is AdmissionAction.ReportUsage -> Unit

                is AdmissionAction.Refuse ->
                    onAction(NodeAction.Fail(action.request, action.code))
            }
        }
    }

    /** Passes [event] to the suspect filter of [node] and handles what the filter returns. */
    fun handleSuspect(node: Int, event: SuspectEvent, now: Duration) {
        val current = nodes[node]
        val step = suspectFilter.step(current.suspect, event, now)
        nodes = nodes.set(node, current.copy(suspect = step.state))
        step.actions.forEach { action ->
            when (action) {
                is SuspectAction.Place ->
                    handleRouting(node, RoutingEvent.Place(action.placement), now)

                is SuspectAction.Refuse ->
                    onAction(NodeAction.Fail(action.request.id, action.code))

                is SuspectAction.Gossip -> {
                    val gossip = SuspectEvent.SuspectReported(
                        action.fingerprint,
                        action.crashes,
                        action.lifetime,
                    )
                    onAction(NodeAction.GossipSuspect(node, gossip))
                }
            }
        }
    }

    /** Passes [event] to the routing filter of [node] and handles what the filter returns. */
    fun handleRouting(node: Int, event: RoutingEvent, now: Duration) {
        val current = nodes[node]
        val step = routingFilter.step(current.routing, event, now)
        nodes = nodes.set(node, current.copy(routing = step.state))
        step.actions.forEach { handleRoutingAction(node, it, now) }
    }

    private fun handleRoutingAction(node: Int, action: RoutingAction, now: Duration) {
        when (action) {
            is RoutingAction.Dispatch -> {
                recordDispatch(action.placement)
                val request = action.placement.request.id
                handleAdmission(node, AdmissionEvent.Started(request), now)
                onAction(NodeAction.Dispatch(node, action.placement, action.upstream.id))
            }

            is RoutingAction.Unplaceable -> {
                handleSuspect(node, SuspectEvent.NotPlaced(action.attempt), now)
                onAction(NodeAction.Fail(action.request.id, action.code))
            }

            is RoutingAction.ReportCapacity -> handleAdmission(
                node,
                AdmissionEvent.CapacityChanged(action.service, action.slots, action.usedByOthers),
                now,
            )

            is RoutingAction.AnnounceClosed -> {
                val gossip = RoutingEvent.UpstreamClosed(action.upstream, action.lifetime)
                onAction(NodeAction.GossipRouting(node, gossip))
            }
        }
    }

    private fun recordDispatch(placement: Placement) {
        recorder.count(if (placement.attempt.number == 1) "first" else "retry")
        val isKiller = placement.request.fingerprint.value.startsWith(Arrivals.KILLER_PREFIX)
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
