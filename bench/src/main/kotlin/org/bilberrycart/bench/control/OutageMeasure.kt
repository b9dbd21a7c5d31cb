package org.bilberrycart.bench.control

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.Serializable
import org.bilberrycart.bench.actions.nameOf
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
import org.bilberrycart.standins.platform.PlatformFaults
import org.bilberrycart.standins.platform.PlatformStandIn
import org.bilberrycart.store.HttpTableClient
import org.bilberrycart.store.PlatformLimits
import org.bilberrycart.timer.Ticker

/**
 * Calls that may run at most once, through the idempotency and platform duties of one node and the
 * stand-in over HTTP, while the table is down for a time.
 *
 * @property outage how the table is down.
 */
class OutageMeasure(private val outage: PlatformFaults) : ControlOutput {
    private val clock = Clock()
    private val ring = Ring<IdempotencyEvent>("idempotency", RING_CAPACITY)
    private val service = Executors.newSingleThreadScheduledExecutor()
    private val answers = ConcurrentHashMap<RequestId, Answered>()
    private val left = CountDownLatch(CALLS)
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
            sink = { carryOut(it, control) },
        ).start()
        val ticker = Ticker(TICK, listOf(Ticker.Target(ring) { IdempotencyEvent.Tick })).start()
        val start = clock.now()
        schedule(START) { standin.setFaults(outage) }
        schedule(END) { standin.setFaults(PlatformFaults()) }
        Pacer(PER_SECOND, LENGTH).run(clock) { ring.put(IdempotencyEvent.Arrived(callOf(it))) }
        left.await(PATIENCE.inWholeSeconds, TimeUnit.SECONDS)
        ticker.close()
        duty.close()
        control.close()
        service.shutdownNow()
        return figures(start)
    }

    private fun schedule(after: Duration, task: () -> Unit) {
        service.schedule(task, after.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun carryOut(action: IdempotencyAction, control: ControlDuties) {
        when (action) {
            is IdempotencyAction.Store -> control.rings.platform.put(store.toCall(action))
            is IdempotencyAction.Place -> schedule(SERVICE_TIME) {
                ring.put(IdempotencyEvent.Answered(action.placement.attempt, OK, "{}"))
            }
            is IdempotencyAction.Cancel -> Unit
            is IdempotencyAction.Deliver -> {
                answers[action.request] = Answered(nameOf(action.part), clock.now())
                left.countDown()
            }
        }
    }

    private fun callOf(number: Int): ServiceCall {
        val now = clock.now()
        return ServiceCall(
            id = RequestId("${now.inWholeNanoseconds}-$number"),
            organisation = OrganisationId("o"),
            service = ServiceId("s"),
            requestClass = RequestClass.ACTION,
            fingerprint = Fingerprint("f$number"),
            arrivedAt = now,
            deadline = now + DEADLINE,
            operation = "book",
            body = "{}",
            repeatMode = RepeatMode.NEVER,
            key = IdempotencyKey("k$number"),
        )
    }

    private fun figures(start: Duration): OutageFigures {
        val during = answers.entries.associate { (id, answer) ->
            val arrivedAt = id.value.substringBefore('-').toLong().let { it / NANOS_PER_MILLI }
            val since = arrivedAt.milliseconds - start
            id to OutageAnswer(answer.code, since, answer.at - arrivedAt.milliseconds)
        }.values
        return OutageFigures(
            calls = CALLS,
            unanswered = CALLS - answers.size,
            beforeAndAfter = byCode(during.filter { it.arrivedAfter !in START..END }),
            inOutage = byCode(during.filter { it.arrivedAfter in START..END }),
        )
    }

    private data class OutageAnswer(
        val code: String,
        val arrivedAfter: Duration,
        val took: Duration,
    )

    private fun byCode(answers: List<OutageAnswer>): Map<String, LatencySummary> =
        answers.groupBy { it.code }.toSortedMap().mapValues { (_, group) ->
            Latencies().also { all -> group.forEach { all.add(it.took) } }.summary()
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
        const val PER_SECOND = 200.0
        const val CALLS = 2_400
        const val NANOS_PER_MILLI = 1_000_000L
        val LENGTH = 12.seconds
        val START = 3.seconds
        val END = 8.seconds
        val DEADLINE = 4.seconds
        val PATIENCE = 15.seconds
        val SERVICE_TIME = 5.milliseconds
        val TICK = 20.milliseconds
    }
}

/** What one run of [OutageMeasure] brought: answers by result, with the time they took. */
@Serializable
data class OutageFigures(
    val calls: Int,
    val unanswered: Int,
    val beforeAndAfter: Map<String, LatencySummary>,
    val inOutage: Map<String, LatencySummary>,
)
