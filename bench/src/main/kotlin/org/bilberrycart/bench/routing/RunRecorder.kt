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

/** Collects what the callers of one run see, without the first minutes, in which queues fill. */
internal class RunRecorder(private val shape: FleetShape, private val scenario: Scenario) {
    private val burst = OrganisationId("o${shape.organisations - 1}")
    private val classes = listOf(RequestClass.SHORT_QUESTION, RequestClass.LONG_DRAFT)
    private val waits = classes.associateWith { List(scenario.minutes) { histogram() } }
    private val dispatches = classes.associateWith { histogram() }
    private val sojourns = classes.associateWith { histogram() }
    private val resumes = histogram()
    private var counts: PersistentMap<String, Long> = persistentMapOf()

    fun arrived(request: Request) = ifCounted(request) { count("arrived ${request.requestClass}") }

    fun refused(request: Request, code: ResultCode) {
        count("code $code")
        ifCounted(request) { count("refused ${request.requestClass}") }
    }

    fun dispatched(request: Request, now: Duration) = ifCounted(request) {
        dispatches.getValue(request.requestClass).record(now - request.arrivedAt)
    }

    fun firstToken(request: Request, now: Duration) = ifCounted(request) {
        val minute = request.arrivedAt.inWholeMinutes.toInt()
        waits.getValue(request.requestClass)[minute].record(now - request.arrivedAt)
    }

    fun finished(request: Request, now: Duration) = ifCounted(request) {
        sojourns.getValue(request.requestClass).record(now - request.arrivedAt)
        if (now > request.deadline) count("late ${request.requestClass}")
    }

    fun resumed(latency: Duration) = resumes.record(latency)

    fun count(name: String) {
        counts = counts.put(name, of(name) + 1)
    }

    fun report(policy: String, seed: Long): RunReport = RunReport(
        policy = policy,
        fleet = shape.name,
        scenario = scenario.name,
        seed = seed,
        short = classReport(RequestClass.SHORT_QUESTION),
        long = classReport(RequestClass.LONG_DRAFT),
        resumes = resumes.totalCount,
        resumeP50 = resumes.getValueAtPercentile(MEDIAN),
        resumeP99 = resumes.getValueAtPercentile(HIGHEST),
        resumeMax = resumes.maxValue,
        retryShare = of("retry") / of("first").coerceAtLeast(1).toDouble(),
        refusals = counts.filterKeys {
            it.startsWith("code ")
        }.mapKeys { it.key.drop("code ".length) },
        enginesLost = of("engine lost"),
        killerSends = of("killer sent"),
        enginesLostToKillers = of("engine lost to killer"),
        falseRefusals = of("false refusal"),
        suspectsAlone = of("innocent alone"),
    )

    private fun classReport(requestClass: RequestClass): ClassReport {
        val minutes = waits.getValue(requestClass)
        val all = histogram().apply { minutes.forEach(::add) }
        val arrived = of("arrived $requestClass")
        return ClassReport(
            requests = arrived,
            refused = of("refused $requestClass") / arrived.coerceAtLeast(1).toDouble(),
            firstTokenP50 = all.getValueAtPercentile(MEDIAN),
            firstTokenP95 = all.getValueAtPercentile(HIGH),
            firstTokenP99 = all.getValueAtPercentile(HIGHEST),
            dispatchP95 = dispatches.getValue(requestClass).getValueAtPercentile(HIGH),
            worstMinuteP95 = minutes.maxOf { it.getValueAtPercentile(HIGH) },
            meanSojourn = sojourns.getValue(requestClass).mean,
            late = of("late $requestClass"),
        )
    }

    private fun of(name: String): Long = counts[name] ?: 0

    private fun ifCounted(request: Request, record: () -> Unit) {
        val isCounted = request.organisation != burst && request.arrivedAt >= WARM_UP
        if (isCounted && request.fingerprint.value.startsWith(Arrivals.KILLER).not()) record()
    }

    private fun histogram() = Histogram(PRECISION)

    private fun Histogram.record(time: Duration) =
        recordValue(time.toDouble(DurationUnit.MILLISECONDS).toLong())

    private companion object {
        val WARM_UP = 2.minutes
        const val PRECISION = 3
        const val MEDIAN = 50.0
        const val HIGH = 95.0
        const val HIGHEST = 99.0
    }
}
