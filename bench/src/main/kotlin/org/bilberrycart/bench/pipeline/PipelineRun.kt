package org.bilberrycart.bench.pipeline

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.bench.trial.TrialSettings
import org.bilberrycart.dispatch.DispatchAction
import org.bilberrycart.dispatch.UpstreamOutput
import org.bilberrycart.health.HealthEvent
import org.bilberrycart.membership.Member
import org.bilberrycart.metrics.MetricsEvent
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.Fingerprint
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.Sampling
import org.bilberrycart.model.Upstream
import org.bilberrycart.node.NodeObserver
import org.bilberrycart.node.PeerPort
import org.bilberrycart.node.Pipeline
import org.bilberrycart.node.PipelineFilters
import org.bilberrycart.node.PipelinePorts
import org.bilberrycart.node.VersionListener
import org.bilberrycart.peer.PeerEvent
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.pipeline.Ring
import org.bilberrycart.pipeline.Sink
import org.bilberrycart.store.PlatformEvent
import org.bilberrycart.store.StoreContext
import org.bilberrycart.store.StoreFailure
import org.bilberrycart.store.StoreResult

/**
 * One randomised run of the filters of a node, with a test clock, fake engines and fake callers.
 *
 * The threads of the duties are not started: a random source seeded with [seed] decides which duty
 * steps next, which engine sends, which fault is injected and how far the clock advances. The same
 * seed gives the same run.
 */
internal class PipelineRun(
    private val seed: Long,
    isTraced: Boolean = false,
    filters: PipelineFilters = PipelineFilters(),
) : PipelinePorts,
    NodeObserver,
    FakeEngines.RunView {
    private val random = Random(seed)
    private val time = TestTimeSource()
    private val clock = Clock(time)
    private val recorder = ViolationRecorder(isTraced)
    private val settings = TrialSettings.settings(List(ENGINES) { it + 1 }, SLOTS)
    private val upstreams = settings.fleet.declaredUpstreams().sortedBy { it.id.value }
    private lateinit var engines: FakeEngines
    private val pipeline = Pipeline(
        settings = settings,
        clock = clock,
        ports = this,
        observer = this,
        filters = filters,
        seed = seed,
        startedMillis = 1,
    )
    private var callers: PersistentList<FakeCaller> = persistentListOf()
    private var faults = 0L

    override fun store(results: (StoreContext, StoreResult) -> Unit): Sink<PlatformEvent.Call> =
        Sink { call ->
            results(call.context, StoreResult.Unavailable(StoreFailure.CIRCUIT_OPEN))
        }

    override fun upstreams(output: UpstreamOutput): Sink<DispatchAction> =
        FakeEngines(random, output, recorder, runView = this).also { engines = it }

    override fun isOpen(attempt: AttemptId): Boolean = attempt in pipeline.dispatch.openAttempts

    override fun receivedTokens(request: RequestId): Int =
        callers.firstOrNull { it.request.id == request }?.received ?: 0

    override val versions: VersionListener
        get() = VersionListener {}

    override fun peers(inbound: Ring<PeerEvent>): PeerPort {
        val self = Member(settings.node.vm, LOOPBACK, port = 1, settings.node.dataCentre)
        return PeerPort(self) {}
    }

    override fun loads(ring: Ring<HealthEvent>): Sink<Upstream> = Sink { upstream ->
        if (upstream.id in engines.leaving) ring.offer(HealthEvent.LeavingReported(upstream.id, 1))
    }

    override fun count(event: MetricsEvent) {
        recorder.trace { "count: $event" }
    }

    override fun eventFailed(duty: String, cause: Throwable): Unit =
        recorder.check(false) { "$duty failed: $cause" }

    override fun close(): Unit = pipeline.close()

    /** Runs the random steps, lets all answers end, and checks the final state. */
    fun run(): PipelineReport = use {
        pipeline.configure(settings.fleet)
        repeat(STEPS) { randomStep() }
        settle()
        checkSettled()
        report()
    }

    /** The last lines of the trace; empty unless the run is traced. */
    val trace: List<String>
        get() = recorder.traceLines

    private fun randomStep() {
        val draw = random.nextInt(TOTAL_WEIGHT)
        when (RandomAction.entries.first { draw < it.cumulativeWeight }) {
            RandomAction.STEP_DUTY -> stepDuty()
            RandomAction.ENGINE_SENDS -> engines.sendNext()
            RandomAction.ADVANCE_SHORT ->
                advanceTime((1 + random.nextInt(MAX_SHORT_ADVANCE_MILLIS)).milliseconds)
            RandomAction.CALLER_RECEIVES -> callers.randomOrNull(random)?.receiveParts()
            RandomAction.NEW_REQUEST -> submitRequest()
            RandomAction.CALLER_FAULT -> injectCallerFault()
            RandomAction.ENGINE_FAULT -> injectEngineFault()
            RandomAction.ADVANCE_LONG ->
                advanceTime(random.nextInt(MAX_LONG_ADVANCE_MILLIS).milliseconds)
        }
    }

    /**
     * What a random step does.
     *
     * @property cumulativeWeight the sum of the weights up to and including this action, of 1,000.
     */
    private enum class RandomAction(val cumulativeWeight: Int) {
        STEP_DUTY(cumulativeWeight = 560),
        ENGINE_SENDS(cumulativeWeight = 860),
        ADVANCE_SHORT(cumulativeWeight = 930),
        CALLER_RECEIVES(cumulativeWeight = 980),
        NEW_REQUEST(cumulativeWeight = 986),
        CALLER_FAULT(cumulativeWeight = 992),
        ENGINE_FAULT(cumulativeWeight = 998),
        ADVANCE_LONG(cumulativeWeight = 1_000),
    }

    private fun stepDuty() {
        val ready = pipeline.duties.filter { it.ring.stats().held > 0 }
        ready.randomOrNull(random)?.stepHeld(limit = 1 + random.nextInt(MAX_EVENTS_AT_ONCE))
    }

    private fun advanceTime(step: Duration) {
        time += step
        pipeline.tickTargets.forEach { it.fire() }
        pipeline.flushTickTargets.forEach { it.fire() }
    }

    private fun submitRequest() {
        if (callers.size >= MAX_CALLERS) return
        val number = callers.size
        val request = GenerationRequest(
            id = RequestId("r$seed-$number"),
            organisation = TrialSettings.ORGANISATION,
            service = TrialSettings.SERVICE,
            requestClass = RequestClass.entries.random(random),
            fingerprint = Fingerprint("f$number"),
            arrivedAt = clock.now(),
            deadline = clock.now() + REQUEST_TIMEOUT,
            model = TrialSettings.MODEL,
            prompt = "p$number",
            sampling = Sampling(maxTokens = 1 + random.nextInt(MAX_TOKENS)),
        )
        val caller = FakeCaller(request, pipeline.frontEnd, pipeline.callers, recorder)
        callers = callers.add(caller)
        caller.submit()
    }

    private fun injectCallerFault() {
        val caller = callers.randomOrNull(random) ?: return
        faults++
        when (random.nextInt(CALLER_FAULT_DRAWS)) {
            0 -> caller.cancel()
            in DISCONNECT_DRAWS -> caller.disconnect()
            else -> caller.reconnect()
        }
    }

    private fun injectEngineFault() {
        faults++
        engines.inject(FakeFault.entries.random(random), upstreams)
    }

    private fun settle() {
        engines.reviveAll(upstreams)
        callers.forEach { it.reconnect() }
        repeat(SETTLE_ROUNDS) {
            if (isSettled()) return
            repeat(STEPS_PER_ROUND) { stepDuty() }
            repeat(SENDS_PER_ROUND) { engines.sendNext() }
            callers.forEach { it.receiveParts() }
            advanceTime(SETTLE_STEP)
        }
    }

    private fun isSettled(): Boolean = callers.all { it.finalPart != null } &&
        engines.isIdle &&
        pipeline.ringStats.all { it.held == 0 }

    private fun checkSettled() {
        callers.forEach { caller ->
            recorder.check(caller.finalPart != null) { "${caller.request.id} has no final part" }
        }
        recorder.check(engines.isIdle) { "an engine still has an open stream" }
        recorder.check(pipeline.dispatch.openAttempts.isEmpty()) {
            "attempts left open: ${pipeline.dispatch.openAttempts.keys}"
        }
        recorder.check(pipeline.admission.requests.isEmpty()) {
            "requests left admitted: ${pipeline.admission.requests.keys}"
        }
        recorder.check(pipeline.routing.attempts.isEmpty()) {
            "attempts left in routing: ${pipeline.routing.attempts.keys}"
        }
        recorder.check(pipeline.journals.all { it.size == 0 }) { "a journal is not empty" }
        pipeline.ringStats.forEach { ring ->
            recorder.check(ring.isBalanced) { "ring ${ring.name} lost or duplicated items: $ring" }
        }
    }

    private fun report() = PipelineReport(
        seeds = 1,
        requests = callers.size.toLong(),
        tokens = callers.sumOf { it.received.toLong() },
        faults = faults,
        whole = callers.count { it.finalPart is AnswerPart.Finished }.toLong(),
        refused = callers.count { it.finalPart is AnswerPart.Failed }.toLong(),
        violations = recorder.violations.map { SeedViolation(seed, it, trace) },
    )

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val ENGINES = 4
        const val SLOTS = 4
        const val STEPS = 6_000
        const val TOTAL_WEIGHT = 1_000
        const val MAX_EVENTS_AT_ONCE = 16
        const val MAX_SHORT_ADVANCE_MILLIS = 8
        const val MAX_LONG_ADVANCE_MILLIS = 600
        const val MAX_CALLERS = 36
        const val MAX_TOKENS = 80
        const val CALLER_FAULT_DRAWS = 8
        val DISCONNECT_DRAWS = 1..3
        const val SETTLE_ROUNDS = 4_000
        const val STEPS_PER_ROUND = 40
        const val SENDS_PER_ROUND = 10
        val REQUEST_TIMEOUT = 40.seconds
        val SETTLE_STEP = 20.milliseconds
    }
}
