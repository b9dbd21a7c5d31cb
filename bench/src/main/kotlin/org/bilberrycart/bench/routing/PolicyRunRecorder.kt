package org.bilberrycart.bench.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.DurationUnit
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.HdrHistogram.Histogram
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.Request
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.ResultCode

/**
 * Records what the callers of one policy run see.
 *
 * Latencies and the requests of a class leave out the warm-up, in which queues fill, the
 * organisation with the burst and the requests that crash engines.
 */
internal class PolicyRunRecorder(private val shape: FleetShape, private val scenario: Scenario) {
    private val burstOrganisation = OrganisationId("o${shape.organisations - 1}")
    private val classes = listOf(RequestClass.SHORT_QUESTION, RequestClass.LONG_DRAFT)
    private val firstTokenWaits = classes.associateWith { List(scenario.minutes) { histogram() } }
    private val dispatchWaits = classes.associateWith { histogram() }
    private val sojourns = classes.associateWith { histogram() }
    private val resumeLatencies = histogram()
    private var counts: PersistentMap<String, Long> = persistentMapOf()

    fun arrived(request: Request) = ifCounted(request) { count("arrived ${request.requestClass}") }

    fun refused(request: Request, code: ResultCode) {
        count("code $code")
        ifCounted(request) { count("refused ${request.requestClass}") }
    }

    fun dispatched(request: Request, now: Duration) = ifCounted(request) {
        dispatchWaits.getValue(request.requestClass).record(now - request.arrivedAt)
    }

    fun firstToken(request: Request, now: Duration) = ifCounted(request) {
        val minute = request.arrivedAt.inWholeMinutes.toInt()
        firstTokenWaits.getValue(request.requestClass)[minute].record(now - request.arrivedAt)
    }

    fun finished(request: Request, now: Duration) = ifCounted(request) {
        sojourns.getValue(request.requestClass).record(now - request.arrivedAt)
        if (now > request.deadline) count("late ${request.requestClass}")
    }

    fun resumed(latency: Duration) = resumeLatencies.record(latency)

    fun count(name: String) {
        counts = counts.put(name, countOf(name) + 1)
    }

    fun report(policy: String, seed: Long): PolicyRunReport = PolicyRunReport(
        policy = policy,
        fleet = shape.name,
        scenario = scenario.name,
        seed = seed,
        short = classReport(RequestClass.SHORT_QUESTION),
        long = classReport(RequestClass.LONG_DRAFT),
        resumes = resumeLatencies.totalCount,
        resumeP50 = resumeLatencies.getValueAtPercentile(P50),
        resumeP99 = resumeLatencies.getValueAtPercentile(P99),
        resumeMax = resumeLatencies.maxValue,
        retryShare = countOf("retry") / countOf("first").coerceAtLeast(1).toDouble(),
        refusals = counts.filterKeys {
            it.startsWith("code ")
        }.mapKeys { it.key.drop("code ".length) },
        enginesLost = countOf("engine lost"),
        killerSends = countOf("killer sent"),
        enginesLostToKillers = countOf("engine lost to killer"),
        falseRefusals = countOf("false refusal"),
        suspectsAlone = countOf("innocent alone"),
    )

    private fun classReport(requestClass: RequestClass): ClassReport {
        val minutes = firstTokenWaits.getValue(requestClass)
        val all = histogram().apply { minutes.forEach(::add) }
        val arrived = countOf("arrived $requestClass")
        return ClassReport(
            requests = arrived,
            refused = countOf("refused $requestClass") / arrived.coerceAtLeast(1).toDouble(),
            firstTokenP50 = all.getValueAtPercentile(P50),
            firstTokenP95 = all.getValueAtPercentile(P95),
            firstTokenP99 = all.getValueAtPercentile(P99),
            dispatchP95 = dispatchWaits.getValue(requestClass).getValueAtPercentile(P95),
            worstMinuteP95 = minutes.maxOf { it.getValueAtPercentile(P95) },
            meanSojourn = sojourns.getValue(requestClass).mean,
            late = countOf("late $requestClass"),
        )
    }

    private fun countOf(name: String): Long = counts[name] ?: 0

    private fun ifCounted(request: Request, act: () -> Unit) {
        val isCounted = request.organisation != burstOrganisation && request.arrivedAt >= WARM_UP
        if (isCounted && request.fingerprint.value.startsWith(Arrivals.KILLER_PREFIX).not()) act()
    }

    private fun histogram() = Histogram(SIGNIFICANT_DIGITS)

    private fun Histogram.record(time: Duration) =
        recordValue(time.toDouble(DurationUnit.MILLISECONDS).toLong())

    private companion object {
        val WARM_UP = 2.minutes
        const val SIGNIFICANT_DIGITS = 3
        const val P50 = 50.0
        const val P95 = 95.0
        const val P99 = 99.0
    }
}
