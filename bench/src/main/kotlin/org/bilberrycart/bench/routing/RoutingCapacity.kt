package org.bilberrycart.bench.routing

import java.lang.management.ManagementFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.minutes
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.model.AttemptOutcome
import org.bilberrycart.model.Fingerprint
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.Sampling
import org.bilberrycart.routing.ServiceRouting

/** Measures what the decisions of one node cost by the size of the fleet, on this thread. */
class RoutingCapacity {
    private val threads = ManagementFactory.getThreadMXBean()

    /** Returns the points and the lines through them. */
    fun measure(): CapacityReport {
        repeat(WARM_UPS) { point(UPSTREAMS.first(), ORGANISATIONS.first()) }
        val byUpstreams = UPSTREAMS.map { point(it, ORGANISATIONS.first()) }
        val byOrganisations = ORGANISATIONS.map { point(UPSTREAMS.first(), it) }
        return CapacityReport(
            byUpstreams,
            byOrganisations,
            microsPerUpstream = line(byUpstreams, { it.upstreams }) { it.microsPerRequest },
            bytesPerUpstream = line(byUpstreams, { it.upstreams }) { it.stateBytes.toDouble() },
            microsPerOrganisation =
            line(byOrganisations, { it.organisations }) { it.microsPerRequest },
            bytesPerOrganisation =
            line(byOrganisations, { it.organisations }) { it.stateBytes.toDouble() },
        )
    }

    private fun point(upstreams: Int, organisations: Int): CapacityPoint {
        val before = usedHeap()
        val load = CapacityLoad(upstreams, organisations)
        val micros = List(ROUNDS) {
            processorMicros { load.serve(REQUESTS) } / REQUESTS
        }.sorted()
        val tick = List(ROUNDS) { processorMicros { load.tick() } }.sorted()
        val bytes = usedHeap() - before
        load.check()
        return CapacityPoint(
            upstreams,
            organisations,
            microsPerRequest = micros[ROUNDS / 2],
            stateBytes = bytes,
            microsPerTick = tick[ROUNDS / 2],
        )
    }

    private fun processorMicros(work: () -> Unit): Double {
        val before = threads.currentThreadCpuTime
        work()
        return (threads.currentThreadCpuTime - before) / NANOS_PER_MICRO
    }

    private fun usedHeap(): Long {
        repeat(COLLECTIONS) { System.gc() }
        return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
    }

    private fun line(
        points: List<CapacityPoint>,
        x: (CapacityPoint) -> Int,
        y: (CapacityPoint) -> Double,
    ): Line {
        val meanX = points.map(x).average()
        val meanY = points.map(y).average()
        val slope = points.sumOf { (x(it) - meanX) * (y(it) - meanY) } /
            points.sumOf { (x(it) - meanX) * (x(it) - meanX) }
        return Line(atZero = meanY - slope * meanX, slope = slope)
    }

    private companion object {
        val UPSTREAMS = listOf(20, 100, 240, 480, 730)
        val ORGANISATIONS = listOf(10, 500, 2_000, 4_000, 7_900)
        const val WARM_UPS = 4
        const val ROUNDS = 15
        const val REQUESTS = 4_000
        const val COLLECTIONS = 3
        const val NANOS_PER_MICRO = 1_000.0
    }
}

/** Requests of all organisations that one node serves, [IN_FLIGHT] of them at a time. */
private class CapacityLoad(upstreams: Int, private val organisations: Int) {
    private val shape = FleetShape("capacity", upstreams, NODES, organisations = organisations)
    private val scenario = Scenario("capacity", load = 0.0, minutes = 1)
    private val recorder = RunRecorder(shape, scenario)
    private val fleet = FakeFleet(shape, ServiceRouting())
    private val nodes =
        FakeNodes(fleet, shape.copy(nodes = 1), seed = 1, recorder, ::carryOut)
    private var inFlight: PersistentList<NodeAction.Send> = persistentListOf()
    private var now = Duration.ZERO
    private var count = 0

    fun serve(requests: Int) = repeat(requests) {
        now += GAP
        count++
        nodes.arrive(Arrival(node = 0, request()), now)
        if (inFlight.size > IN_FLIGHT) end(inFlight.first())
    }

    fun tick() = nodes.tick(now)

    fun check() = nodes.check()

    private fun end(sent: NodeAction.Send) {
        inFlight = inFlight.removeAt(0)
        val attempt = sent.placement.attempt
        nodes.attemptEnded(0, attempt, sent.engine, AttemptOutcome.Completed, now)
        nodes.over(0, attempt.request, TOKENS, now)
    }

    private fun carryOut(action: NodeAction) {
        if (action is NodeAction.Send) inFlight = inFlight.add(action)
    }

    private fun request() = GenerationRequest(
        id = RequestId("r$count"),
        organisation = OrganisationId("o${count % organisations}"),
        service = Arrivals.SERVICE,
        requestClass = RequestClass.SHORT_QUESTION,
        fingerprint = Fingerprint("r$count"),
        arrivedAt = now,
        deadline = now + 1.minutes,
        model = Arrivals.MODEL,
        prompt = "prefix",
        sampling = Sampling(TOKENS),
    )

    private companion object {
        const val NODES = 330
        const val IN_FLIGHT = 100
        const val TOKENS = 40
        val GAP = 500.microseconds
    }
}
