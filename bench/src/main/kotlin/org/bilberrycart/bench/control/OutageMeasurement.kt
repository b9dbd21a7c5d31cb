package org.bilberrycart.bench.control

import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.Serializable
import org.bilberrycart.bench.actions.resultNameOf
import org.bilberrycart.configuration.ConfigurationDocument
import org.bilberrycart.idempotency.IdempotencyAction
import org.bilberrycart.idempotency.IdempotencyEvent
import org.bilberrycart.idempotency.IdempotencyFilter
import org.bilberrycart.idempotency.IdempotencyState
import org.bilberrycart.idempotency.IdempotencyStore
import org.bilberrycart.model.Fingerprint
import org.bilberrycart.model.IdempotencyKey
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RepeatMode
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ServiceCall
import org.bilberrycart.model.ServiceId
import org.bilberrycart.model.VmId
import org.bilberrycart.node.ControlDuties
import org.bilberrycart.node.ControlOutput
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.pipeline.Duty
import org.bilberrycart.pipeline.Ring
import org.bilberrycart.pipeline.SharedMap
import org.bilberrycart.standins.platform.PlatformFaults
import org.bilberrycart.standins.platform.PlatformStandIn
import org.bilberrycart.store.HttpTableClient
import org.bilberrycart.store.PlatformLimits
import org.bilberrycart.timer.Ticker

/**
 * Measures how calls that may be executed at most once are answered before, during and after an
 * outage of the table.
 *
 * The calls go through the idempotency and platform duties of one node, which reach a stand-in of
 * the table over HTTP.
 *
 * @property outage the faults that the table has during the outage.
 */
class OutageMeasurement(private val outage: PlatformFaults) : ControlOutput {
    private val clock = Clock()
    private val ring = Ring<IdempotencyEvent>("idempotency", RING_CAPACITY)
    private val service = Executors.newSingleThreadScheduledExecutor()
    private val answers = SharedMap<RequestId, Answered>()
    private val remaining = CountDownLatch(CALLS)
    private val store = IdempotencyStore()

    private data class Answered(val code: String, val at: Duration)

    /** Runs the measurement. */
    fun run(): OutageFigures = PlatformStandIn().start().use { standin ->
        HttpTableClient("http://127.0.0.1:${standin.port}").use { table -> measure(standin, table) }
    }

    private fun measure(standin: PlatformStandIn, table: HttpTableClient): OutageFigures {
        val control =
            ControlDuties(VmId("n0"), table, this, clock, PlatformLimits.shareOf(NODES)).start()
        val duty = Duty(
            name = "idempotency",
            ring = ring,
            initial = IdempotencyState(instance = "n0"),
            filter = IdempotencyFilter(),
            clock = clock,
            sink = { perform(it, control) },
        ).start()
        val ticker =
            Ticker(TICK_INTERVAL, listOf(Ticker.Target(ring) { IdempotencyEvent.Tick })).start()
        val start = clock.now()
        schedule(OUTAGE_START) { standin.setFaults(outage) }
        schedule(OUTAGE_END) { standin.setFaults(PlatformFaults()) }
        Pacer(CALLS_PER_SECOND, RUN_DURATION).run(clock) {
            ring.put(IdempotencyEvent.Arrived(createCall(it)))
        }
        remaining.await(COMPLETION_TIMEOUT.inWholeSeconds, TimeUnit.SECONDS)
        ticker.close()
        duty.close()
        control.close()
        service.shutdownNow()
        return figures(start)
    }

    private fun schedule(after: Duration, task: () -> Unit) {
        service.schedule(task, after.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun perform(action: IdempotencyAction, control: ControlDuties) {
        when (action) {
            is IdempotencyAction.Store -> control.rings.platform.put(store.toCall(action))
            is IdempotencyAction.Place -> schedule(SERVICE_TIME) {
                ring.put(IdempotencyEvent.Answered(action.placement.attempt, OK, "{}"))
            }
            is IdempotencyAction.Cancel -> Unit
            is IdempotencyAction.Deliver -> {
                answers[action.request] = Answered(resultNameOf(action.part), clock.now())
                remaining.countDown()
            }
        }
    }

    private fun createCall(number: Int): ServiceCall {
        val now = clock.now()
        return ServiceCall(
            id = RequestId("${now.inWholeNanoseconds}-$number"),
            organisation = OrganisationId("o"),
            service = ServiceId("s"),
            requestClass = RequestClass.ACTION,
            fingerprint = Fingerprint("f$number"),
            arrivedAt = now,
            deadline = now + CALL_TIMEOUT,
            operation = "book",
            body = "{}",
            repeatMode = RepeatMode.NEVER,
            key = IdempotencyKey("k$number"),
        )
    }

    private fun figures(start: Duration): OutageFigures {
        val timedAnswers = answers.current.entries.associate { (id, answer) ->
            val arrivedAt = id.value.substringBefore('-').toLong().let { it / NANOS_PER_MILLI }
            val arrivedAfter = arrivedAt.milliseconds - start
            id to TimedAnswer(answer.code, arrivedAfter, answer.at - arrivedAt.milliseconds)
        }.values
        return OutageFigures(
            calls = CALLS,
            unanswered = CALLS - answers.current.size,
            beforeAndAfter =
            byCode(timedAnswers.filter { it.arrivedAfter !in OUTAGE_START..OUTAGE_END }),
            inOutage = byCode(timedAnswers.filter { it.arrivedAfter in OUTAGE_START..OUTAGE_END }),
        )
    }

    private data class TimedAnswer(
        val code: String,
        val arrivedAfter: Duration,
        val latency: Duration,
    )

    private fun byCode(answers: List<TimedAnswer>): Map<String, LatencySummary> =
        answers.groupBy { it.code }.toSortedMap().mapValues { (_, group) ->
            LatencyRecorder()
                .also { recorder -> group.forEach { recorder.add(it.latency) } }
                .summary()
        }

    override fun adopt(document: ConfigurationDocument) = Unit

    override fun announce(version: Long) = Unit

    override fun askPeer(peer: VmId) = Unit

    override fun sendDocument(peer: VmId, document: ConfigurationDocument) = Unit

    override fun readinessChanged(isReady: Boolean) = Unit

    override fun idempotencyResult(event: IdempotencyEvent) {
        ring.put(event)
    }

    private companion object {
        const val OK = 200
        const val NODES = 4
        const val RING_CAPACITY = 16_384
        const val CALLS_PER_SECOND = 200.0
        const val CALLS = 2_400
        const val NANOS_PER_MILLI = 1_000_000L
        val RUN_DURATION = 12.seconds
        val OUTAGE_START = 3.seconds
        val OUTAGE_END = 8.seconds
        val CALL_TIMEOUT = 4.seconds
        val COMPLETION_TIMEOUT = 15.seconds
        val SERVICE_TIME = 5.milliseconds
        val TICK_INTERVAL = 20.milliseconds
    }
}

/**
 * The results of one run of [OutageMeasurement].
 *
 * @property calls the number of calls made.
 * @property unanswered the number of calls without an answer when the run ended.
 * @property beforeAndAfter latencies of the calls that arrived outside the outage, by result.
 * @property inOutage latencies of the calls that arrived during the outage, by result.
 */
@Serializable
data class OutageFigures(
    val calls: Int,
    val unanswered: Int,
    val beforeAndAfter: Map<String, LatencySummary>,
    val inOutage: Map<String, LatencySummary>,
)
