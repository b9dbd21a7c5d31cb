package org.bilberrycart.node

import org.bilberrycart.metrics.NodeStatus
import org.bilberrycart.metrics.Readiness
import org.bilberrycart.metrics.RingStatus
import org.bilberrycart.metrics.StatusReport
import org.bilberrycart.metrics.UpstreamStatus
import org.bilberrycart.metrics.WaitCause
import org.bilberrycart.metrics.WaitingGroup
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.Placement
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.ServiceId
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.routing.UpstreamState
import org.bilberrycart.settings.NodeSettings

/** The status of a node for the operator port, read from the snapshots of its duties. */
internal class PipelineStatus(
    private val settings: NodeSettings,
    private val pipeline: Pipeline,
    private val control: NodeControl?,
    private val clock: Clock,
) : NodeStatus {
    override fun readiness(): Readiness = when {
        pipeline.admission.isDraining -> Readiness.NotReady("draining")
        control?.isReady == false -> Readiness.NotReady("no accepted configuration")
        else -> Readiness.Ready
    }

    override fun report(): StatusReport = StatusReport(
        vm = settings.vm,
        dataCentre = settings.dataCentre,
        readiness = describe(readiness()),
        uptimeMillis = clock.now().inWholeMilliseconds,
        configurationVersion = control?.version?.takeIf { it > 0 },
        inFlight = pipeline.admission.requests.size,
        waiting = waiting(),
        upstreams = pipeline.routing.upstreams.values
            .sortedBy { it.upstream.id.value }
            .map(::upstream),
        rings = pipeline.ringStats.map { RingStatus(it.name, it.capacity, it.held, it.refused) },
    )

    private fun describe(readiness: Readiness): String = when (readiness) {
        Readiness.Ready -> "ready"
        is Readiness.NotReady -> readiness.reason
    }

    private fun waiting(): List<WaitingGroup> = pipeline.routing.pools.values
        .flatMap { it.waiting }
        .map { it.placement }
        .groupBy { GroupKey.of(it) }
        .map { (key, placements) -> group(key, placements) }

    private fun group(key: GroupKey, placements: List<Placement>) = WaitingGroup(
        organisation = key.organisation,
        service = key.service,
        requestClass = key.requestClass,
        cause = key.cause,
        requests = placements.size,
        longestMillis = placements.maxOf {
            (clock.now() - it.request.arrivedAt).inWholeMilliseconds
        },
    )

    private data class GroupKey(
        val organisation: OrganisationId,
        val service: ServiceId,
        val requestClass: RequestClass,
        val cause: WaitCause,
    ) {
        companion object {
            fun of(placement: Placement): GroupKey = with(placement.request) {
                val isResume = placement.attempt.number > 1
                val cause = if (isResume) WaitCause.RESUME else WaitCause.UPSTREAM
                GroupKey(organisation, service, requestClass, cause)
            }
        }
    }

    private fun upstream(state: UpstreamState): UpstreamStatus = UpstreamStatus(
        id = state.upstream.id,
        state = when {
            !state.isServing -> "leaving"
            state.isEjected(clock.now()) -> "ejected"
            else -> "up"
        },
        slots = state.upstream.slots,
        running = state.inFlight,
        queued = state.otherNodesLoad,
    )
}
