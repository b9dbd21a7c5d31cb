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
 * One randomised run of all decisions of a node, under a test clock and with fake engines.
 *
 * The duties are not started: [seed] decides which of them steps next, which engine sends, which
 * fault happens and how time passes. The same seed gives the same run.
 */
internal class PipelineRun(
    private val seed: Long,
    isTraced: Boolean = false,
    filters: PipelineFilters = PipelineFilters(),
) : PipelinePorts,
    NodeObserver,
    FakeEngines.View {
    private val random = Random(seed)
    private val time = TestTimeSource()
    private val clock = Clock(time)
    private val watch = RunWatch(isTraced)
    private val fleet = TrialSettings.settings(List(ENGINES) { it + 1 }, SLOTS)
    private val engineList = fleet.fleet.declaredUpstreams().sortedBy { it.id.value }
    private lateinit var engines: FakeEngines
    private val pipeline = Pipeline(
        settings = fleet,
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
        FakeEngines(random, output, watch, view = this).also { engines = it }

    override fun isOpen(attempt: AttemptId): Boolean = attempt in pipeline.dispatch.openAttempts

    override fun received(request: RequestId): Int =
        callers.firstOrNull { it.request.id == request }?.received ?: 0

    override val versions: VersionListener
        get() = VersionListener {}

    override fun peers(inbound: Ring<PeerEvent>): PeerPort {
        val self = Member(fleet.node.vm, LOOPBACK, port = 1, fleet.node.dataCentre)
        return PeerPort(self) {}
    }

    override fun loads(ring: Ring<HealthEvent>): Sink<Upstream> = Sink { upstream ->
        if (upstream.id in engines.left) ring.offer(HealthEvent.LeavingReported(upstream.id, 1))
    }

    override fun count(event: MetricsEvent) {
        watch.trace { "count: $event" }
    }

    override fun eventFailed(duty: String, cause: Exception): Unit =
        watch.check(false) { "$duty failed: $cause" }

    override fun close(): Unit = pipeline.close()

    /** Runs, lets everything settle, and checks. */
    fun run(): PipelineReport = use {
        pipeline.configure(fleet.fleet)
        repeat(STEPS) { act() }
        settle()
        checkSettled()
        report()
    }

    /** The trace, if the run was asked to keep it. */
    val trace: List<String>
        get() = watch.lines

    private fun act() {
        val draw = random.nextInt(TOTAL_WEIGHT)
        when (Choice.entries.first { draw < it.below }) {
            Choice.STEP_DUTY -> stepDuty()
            Choice.ENGINE -> engines.act()
            Choice.SHORT_TIME -> pass((1 + random.nextInt(MAX_STEP_MILLIS)).milliseconds)
            Choice.CALLER_TAKES -> callers.randomOrNull(random)?.take()
            Choice.REQUEST -> ask()
            Choice.CALLER_FAULT -> callerFault()
            Choice.ENGINE_FAULT -> fault()
            Choice.LONG_TIME -> pass(random.nextInt(MAX_JUMP_MILLIS).milliseconds)
        }
    }

    /** What happens next; [below] is the sum of the weights up to this choice, of 1,000. */
    private enum class Choice(val below: Int) {
        STEP_DUTY(below = 560),
        ENGINE(below = 860),
        SHORT_TIME(below = 930),
        CALLER_TAKES(below = 980),
        REQUEST(below = 986),
        CALLER_FAULT(below = 992),
        ENGINE_FAULT(below = 998),
        LONG_TIME(below = 1_000),
    }

    private fun stepDuty() {
        val ready = pipeline.duties.filter { it.ring.stats().held > 0 }
        ready.randomOrNull(random)?.stepHeld(limit = 1 + random.nextInt(MAX_EVENTS_AT_ONCE))
    }

    private fun pass(step: Duration) {
        time += step
        pipeline.tickTargets.forEach { it.fire() }
        pipeline.flushTickTargets.forEach { it.fire() }
    }

    private fun ask() {
        if (callers.size >= MAX_CALLERS) return
        val number = callers.size
        val request = GenerationRequest(
            id = RequestId("r$seed-$number"),
            organisation = TrialSettings.ORGANISATION,
            service = TrialSettings.SERVICE,
            requestClass = RequestClass.entries.random(random),
            fingerprint = Fingerprint("f$number"),
            arrivedAt = clock.now(),
            deadline = clock.now() + DEADLINE,
            model = TrialSettings.MODEL,
            prompt = "p$number",
            sampling = Sampling(maxTokens = 1 + random.nextInt(MAX_TOKENS)),
        )
        val caller = FakeCaller(request, pipeline.frontEnd, pipeline.callers, watch)
        callers = callers.add(caller)
        caller.submit()
    }

    private fun callerFault() {
        val caller = callers.randomOrNull(random) ?: return
        faults++
        when (random.nextInt(CALLER_FAULTS)) {
            0 -> caller.cancel()
            in VANISHING -> caller.vanish()
            else -> caller.comeBack()
        }
    }

    private fun fault() {
        faults++
        engines.fault(FakeFault.entries.random(random), engineList)
    }

    private fun settle() {
        engines.heal(engineList)
        callers.forEach { it.comeBack() }
        repeat(SETTLE_ROUNDS) {
            if (isSettled()) return
            repeat(STEPS_PER_ROUND) { stepDuty() }
            repeat(SENDS_PER_ROUND) { engines.act() }
            callers.forEach { it.take() }
            pass(SETTLE_STEP)
        }
    }

    private fun isSettled(): Boolean = callers.all { it.end != null } &&
        engines.isIdle &&
        pipeline.ringStats.all { it.held == 0 }

    private fun checkSettled() {
        callers.forEach { caller ->
            watch.check(caller.end != null) { "${caller.request.id} has no end" }
        }
        watch.check(engines.isIdle) { "an engine still runs a stream" }
        watch.check(pipeline.dispatch.openAttempts.isEmpty()) {
            "open: ${pipeline.dispatch.openAttempts.keys}"
        }
        watch.check(pipeline.admission.requests.isEmpty()) {
            "admitted: ${pipeline.admission.requests.keys}"
        }
        watch.check(pipeline.routing.attempts.isEmpty()) {
            "in flight: ${pipeline.routing.attempts.keys}"
        }
        watch.check(pipeline.journals.all { it.size == 0 }) { "a journal is left" }
        pipeline.ringStats.forEach { ring ->
            watch.check(ring.isBalanced) { "ring ${ring.name} lost or made items: $ring" }
        }
    }

    private fun report() = PipelineReport(
        seeds = 1,
        requests = callers.size.toLong(),
        tokens = callers.sumOf { it.received.toLong() },
        faults = faults,
        whole = callers.count { it.end is AnswerPart.Finished }.toLong(),
        refused = callers.count { it.end is AnswerPart.Failed }.toLong(),
        violations = watch.violations.map { SeedViolation(seed, it, trace) },
    )

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val ENGINES = 4
        const val SLOTS = 4
        const val STEPS = 6_000
        const val TOTAL_WEIGHT = 1_000
        const val MAX_EVENTS_AT_ONCE = 16
        const val MAX_STEP_MILLIS = 8
        const val MAX_JUMP_MILLIS = 600
        const val MAX_CALLERS = 36
        const val MAX_TOKENS = 80
        const val CALLER_FAULTS = 8
        val VANISHING = 1..3
        const val SETTLE_ROUNDS = 4_000
        const val STEPS_PER_ROUND = 40
        const val SENDS_PER_ROUND = 10
        val DEADLINE = 40.seconds
        val SETTLE_STEP = 20.milliseconds
    }
}
