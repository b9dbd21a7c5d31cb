package org.bilberrycart.bench.routing

import kotlin.time.Duration
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.admission.AdmissionEvent
import org.bilberrycart.admission.AdmissionFilter
import org.bilberrycart.admission.AdmissionState
import org.bilberrycart.admission.OrganisationLimits
import org.bilberrycart.model.DataCentreId
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.Upstream
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.routing.RoutingEvent
import org.bilberrycart.routing.RoutingFilter
import org.bilberrycart.routing.RoutingState
import org.bilberrycart.routing.ServiceRouting
import org.bilberrycart.suspect.SuspectState

/** Defines the upstreams of a fleet of [shape] and creates the nodes that route to them. */
internal class FakeFleet(private val shape: FleetShape, private val routing: ServiceRouting) {
    val upstreams: List<Upstream> = List(shape.engines) {
        Upstream(
            id = UpstreamId("e$it"),
            address = "127.0.0.1",
            port = it,
            dataCentre = dataCentre(it),
            services = setOf(Arrivals.SERVICE),
            models = setOf(Arrivals.MODEL),
            slots = shape.slots,
        )
    }

    private val nodesByDataCentre = (0 until shape.nodes).sortedBy { dataCentre(it).value }

    /** Returns node [index] with its initial state; its routing draws from [seed] + [index]. */
    fun node(index: Int, seed: Long): FakeNode {
        val configured = RoutingEvent.Configured(upstreams, mapOf(Arrivals.SERVICE to routing))
        val nodesChanged = RoutingEvent.NodesChanged(nodesByDataCentre.indexOf(index), shape.nodes)
        val start = RoutingState(dataCentre(index), seed + index)
        return FakeNode(
            admission = admission(),
            suspect = SuspectState(),
            routing = listOf(configured, nodesChanged).fold(start) { state, event ->
                RoutingFilter().step(state, event, Duration.ZERO).state
            },
        )
    }

    private fun admission(): AdmissionState = persistentListOf(
        AdmissionEvent.Configured(limits()),
        AdmissionEvent.NodesChanged(shape.nodes),
        AdmissionEvent.CapacityChanged(
            Arrivals.SERVICE,
            shape.engines * shape.slots,
            usedByOthers = 0,
        ),
    ).fold(AdmissionState()) { state, event ->
        AdmissionFilter().step(state, event, Duration.ZERO).state
    }

    private fun limits() = (0 until shape.organisations).associate {
        OrganisationId("o$it") to OrganisationLimits(
            weight = Arrivals.weightOf(it, shape),
            requestsPerSecond = UNLIMITED,
            concurrentGenerations = UNLIMITED.toInt(),
            tokensPerMinute = UNLIMITED.toLong(),
        )
    }

    private fun dataCentre(index: Int) = DataCentreId("dc${index % shape.dataCentres}")

    private companion object {
        const val UNLIMITED = 1e9
    }
}
