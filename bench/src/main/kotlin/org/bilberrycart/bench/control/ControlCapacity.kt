package org.bilberrycart.bench.control

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime
import kotlinx.serialization.Serializable
import org.bilberrycart.idempotency.CallRecord
import org.bilberrycart.idempotency.CallRecordCodec
import org.bilberrycart.idempotency.IdempotencyEvent
import org.bilberrycart.idempotency.IdempotencyFilter
import org.bilberrycart.idempotency.IdempotencyLimits
import org.bilberrycart.idempotency.IdempotencyState
import org.bilberrycart.idempotency.WriteResult
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.Fingerprint
import org.bilberrycart.model.IdempotencyKey
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RepeatMode
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ServiceCall
import org.bilberrycart.model.ServiceId

/**
 * Measures how the cost of the control filters grows with calls and nodes.
 *
 * The filters run alone under a simulated clock, without duties and network.
 */
class ControlCapacity {
    /** Runs all measurements. */
    fun run(): ControlFigures = ControlFigures(
        records = CALL_COUNTS.map(::measureRecords),
        configuration = FLEET_SIZES.map(::measureConfiguration),
        lease = measureLease(),
    )

    /** Measures the state and the time of [count] calls that hold a record. */
    private fun measureRecords(count: Int): RecordFigures {
        val filter = IdempotencyFilter()
        val limits = IdempotencyLimits(calls = count + 1)
        repeat(WARM_UPS) {
            filter.step(filledState(filter, limits, count), IdempotencyEvent.Tick, 1.milliseconds)
            runLifecycles(filter, limits, count)
        }
        val before = usedBytes()
        val filled = filledState(filter, limits, count)
        val bytes = usedBytes() - before
        val tick = (1..TICKS).minOf {
            measureTime { filter.step(filled, IdempotencyEvent.Tick, 1.milliseconds) }
        }
        val lifecycles = measureTime { runLifecycles(filter, limits, count) }
        return RecordFigures(
            calls = count,
            bytesPerCall = bytes.toDouble() / count,
            microsPerCall = lifecycles / 1.nanoseconds / count / NANOS_PER_MICRO,
            microsPerTick = tick / 1.nanoseconds / NANOS_PER_MICRO,
            rowBytes = rowBytes(),
        )
    }

    /** Returns a state in which [count] calls have arrived. */
    private fun filledState(filter: IdempotencyFilter, limits: IdempotencyLimits, count: Int) =
        (1..count).fold(IdempotencyState(instance = "n", limits = limits)) { state, number ->
            filter.step(state, IdempotencyEvent.Arrived(createCall(number)), Duration.ZERO).state
        }

    /** Runs [count] calls through the filter, from their arrival to the stored outcome. */
    private fun runLifecycles(filter: IdempotencyFilter, limits: IdempotencyLimits, count: Int) =
        (1..count).fold(IdempotencyState(instance = "n", limits = limits)) { state, number ->
            val id = RequestId("r$number")
            val attempt = AttemptId(id, epoch = 1, number = 1)
            val written = WriteResult.Written(version = 1)
            val insert = state.nextStoreCallId
            val events = listOf(
                IdempotencyEvent.Arrived(createCall(number)),
                IdempotencyEvent.RecordWritten(id, insert, written),
                IdempotencyEvent.Answered(attempt, OK, "{}"),
                IdempotencyEvent.RecordWritten(id, insert + 1, written),
            )
            events.fold(state) { next, event -> filter.step(next, event, Duration.ZERO).state }
        }

    private fun createCall(number: Int) = ServiceCall(
        id = RequestId("r$number"),
        organisation = OrganisationId("o"),
        service = ServiceId("s"),
        requestClass = RequestClass.ACTION,
        fingerprint = Fingerprint("f$number"),
        arrivedAt = Duration.ZERO,
        deadline = 4.seconds,
        operation = "book",
        body = "x".repeat(BODY_CHARS),
        repeatMode = RepeatMode.NEVER,
        key = IdempotencyKey("k$number"),
    )

    /** Returns the length in bytes of the encoded record of a call without an outcome. */
    private fun rowBytes(): Int {
        val state = filledState(IdempotencyFilter(), IdempotencyLimits(), count = 1)
        val call = state.calls.values.single()
        val record =
            CallRecord(call.owner, "book", call.serviceCall.fingerprint, budgetMillis = 4_000)
        return CallRecordCodec.encode(checkNotNull(call.recordKey), record).length
    }

    /** Returns the bytes of heap in use after garbage collection. */
    private fun usedBytes(): Long {
        repeat(GC_RUNS) { System.gc() }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }

    /** Counts the store reads of a fleet whose first node to read a change announces it. */
    private fun measureConfiguration(nodes: Int): ConfigurationReads {
        val start = ConfigurationSimulation(nodes)
        val end = generateSequence(start) { it.advance(STEP) }
            .first { it.now >= CONFIGURATION_DURATION }
        val seconds = CONFIGURATION_DURATION / 1.seconds
        return ConfigurationReads(
            nodes = nodes,
            changes = end.head,
            fleetReadsPerSecond = end.reads / seconds,
            nodeReadsPerSecond = end.reads / seconds / nodes,
        )
    }

    /** Counts the store calls of one holder and one candidate of the lease. */
    private fun measureLease(): LeaseFigures {
        val end = generateSequence(LeaseSimulation()) { it.advance(STEP) }
            .first { it.now >= LEASE_DURATION }
        val seconds = LEASE_DURATION / 1.seconds
        return LeaseFigures(end.writes / seconds, end.reads / seconds)
    }

    private companion object {
        const val OK = 200
        const val BODY_CHARS = 200
        const val WARM_UPS = 20
        const val TICKS = 100
        const val GC_RUNS = 3
        const val NANOS_PER_MICRO = 1_000.0
        val CALL_COUNTS = listOf(500, 1_000, 2_000, 4_000)
        val FLEET_SIZES = listOf(4, 16, 48, 128, 330)
        val STEP = 100.milliseconds
        val CONFIGURATION_DURATION = 1.hours
        val LEASE_DURATION = 10.minutes
    }
}

/** The results of [ControlCapacity]. */
@Serializable
data class ControlFigures(
    val records: List<RecordFigures>,
    val configuration: List<ConfigurationReads>,
    val lease: LeaseFigures,
)

/**
 * The cost of [calls] concurrent calls that hold a record.
 *
 * @property bytesPerCall heap of the state, for each call.
 * @property microsPerCall time of all steps of a call, in microseconds.
 * @property microsPerTick time of one tick over all calls, in microseconds.
 * @property rowBytes size of one encoded record.
 */
@Serializable
data class RecordFigures(
    val calls: Int,
    val bytesPerCall: Double,
    val microsPerCall: Double,
    val microsPerTick: Double,
    val rowBytes: Int,
)

/**
 * Reads of the configuration from the store by a fleet of [nodes].
 *
 * @property changes the number of configuration changes during the run.
 * @property fleetReadsPerSecond reads of all nodes.
 * @property nodeReadsPerSecond reads of one node on average.
 */
@Serializable
data class ConfigurationReads(
    val nodes: Int,
    val changes: Long,
    val fleetReadsPerSecond: Double,
    val nodeReadsPerSecond: Double,
)

/** The rates of store calls of the lease by one holder and one candidate together. */
@Serializable
data class LeaseFigures(val writesPerSecond: Double, val readsPerSecond: Double)
