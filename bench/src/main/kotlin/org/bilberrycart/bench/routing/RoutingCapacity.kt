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

/**
 * Measures what the admission, suspect and routing filters of one node cost by the size of the
 * fleet.
 *
 * The filters run on the calling thread.
 */
class RoutingCapacity {
    private val threadBean = ManagementFactory.getThreadMXBean()

    /** Measures all sizes and returns the points and the lines fitted to them. */
    fun measure(): CapacityReport {
        repeat(WARM_UPS) { measurePoint(UPSTREAMS.first(), ORGANISATIONS.first()) }
        val byUpstreams = UPSTREAMS.map { measurePoint(it, ORGANISATIONS.first()) }
        val byOrganisations = ORGANISATIONS.map { measurePoint(UPSTREAMS.first(), it) }
        return CapacityReport(
            byUpstreams,
            byOrganisations,
            microsPerUpstream = fitLine(byUpstreams, { it.upstreams }) { it.microsPerRequest },
            bytesPerUpstream = fitLine(byUpstreams, { it.upstreams }) { it.stateBytes.toDouble() },
            microsPerOrganisation =
            fitLine(byOrganisations, { it.organisations }) { it.microsPerRequest },
            bytesPerOrganisation =
            fitLine(byOrganisations, { it.organisations }) { it.stateBytes.toDouble() },
        )
    }

    private fun measurePoint(upstreams: Int, organisations: Int): CapacityPoint {
        val before = usedHeap()
        val load = CapacityLoad(upstreams, organisations)
        val micros = List(ROUNDS) {
            cpuMicros { load.serve(REQUESTS) } / REQUESTS
        }.sorted()
        val tick = List(ROUNDS) { cpuMicros { load.tick() } }.sorted()
        val bytes = usedHeap() - before
        load.checkInvariants()
        return CapacityPoint(
            upstreams,
            organisations,
            microsPerRequest = micros[ROUNDS / 2],
            stateBytes = bytes,
            microsPerTick = tick[ROUNDS / 2],
        )
    }

    private fun cpuMicros(work: () -> Unit): Double {
        val before = threadBean.currentThreadCpuTime
        work()
        return (threadBean.currentThreadCpuTime - before) / NANOS_PER_MICRO
    }

    private fun usedHeap(): Long {
        repeat(GC_RUNS) { System.gc() }
        return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
    }

    private fun fitLine(
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
        const val GC_RUNS = 3
        const val NANOS_PER_MICRO = 1_000.0
    }
}

/** Sends requests of all organisations to one node, about [IN_FLIGHT] of them at a time. */
private class CapacityLoad(upstreams: Int, private val organisations: Int) {
    private val shape = FleetShape("capacity", upstreams, NODES, organisations = organisations)
    private val scenario = Scenario("capacity", load = 0.0, minutes = 1)
    private val recorder = PolicyRunRecorder(shape, scenario)
    private val fleet = FakeFleet(shape, ServiceRouting())
    private val nodes =
        FakeNodes(fleet, shape.copy(nodes = 1), seed = 1, recorder, ::recordDispatch)
    private var inFlight: PersistentList<NodeAction.Dispatch> = persistentListOf()
    private var now = Duration.ZERO
    private var requestCount = 0

    fun serve(requests: Int) = repeat(requests) {
        now += REQUEST_INTERVAL
        requestCount++
        nodes.requestArrived(Arrival(node = 0, request()), now)
        if (inFlight.size > IN_FLIGHT) completeOldest(inFlight.first())
    }

    fun tick() = nodes.tick(now)

    fun checkInvariants() = nodes.checkInvariants()

    private fun completeOldest(sent: NodeAction.Dispatch) {
        inFlight = inFlight.removeAt(0)
        val attempt = sent.placement.attempt
        nodes.attemptEnded(0, attempt, sent.engine, AttemptOutcome.Completed, now)
        nodes.requestEnded(0, attempt.request, TOKENS, now)
    }

    private fun recordDispatch(action: NodeAction) {
        if (action is NodeAction.Dispatch) inFlight = inFlight.add(action)
    }

    private fun request() = GenerationRequest(
        id = RequestId("r$requestCount"),
        organisation = OrganisationId("o${requestCount % organisations}"),
        service = Arrivals.SERVICE,
        requestClass = RequestClass.SHORT_QUESTION,
        fingerprint = Fingerprint("r$requestCount"),
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
        val REQUEST_INTERVAL = 500.microseconds
    }
}
