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

/** Measures slopes on the decisions alone, under a simulated clock. */
class CapacityMeasure {
    /** Runs all measurements. */
    fun run(): CapacityFigures = CapacityFigures(
        records = RECORD_POINTS.map(::records),
        configuration = FLEET_POINTS.map(::configuration),
        lease = lease(),
    )

    private fun records(count: Int): RecordFigures {
        val filter = IdempotencyFilter()
        val limits = IdempotencyLimits(calls = count + 1)
        repeat(WARM_UPS) {
            filter.step(fill(filter, limits, count), IdempotencyEvent.Tick, 1.milliseconds)
            live(filter, limits, count)
        }
        val before = usedBytes()
        val held = fill(filter, limits, count)
        val bytes = usedBytes() - before
        val tick = (1..TICKS).minOf {
            measureTime { filter.step(held, IdempotencyEvent.Tick, 1.milliseconds) }
        }
        val life = measureTime { live(filter, limits, count) }
        return RecordFigures(
            calls = count,
            bytesPerCall = bytes.toDouble() / count,
            microsPerCall = life / 1.nanoseconds / count / NANOS_PER_MICRO,
            microsPerTick = tick / 1.nanoseconds / NANOS_PER_MICRO,
            rowBytes = rowBytes(),
        )
    }

    private fun fill(filter: IdempotencyFilter, limits: IdempotencyLimits, count: Int) =
        (1..count).fold(IdempotencyState(instance = "n", limits = limits)) { state, number ->
            filter.step(state, IdempotencyEvent.Arrived(callOf(number)), Duration.ZERO).state
        }

    /** Takes [count] calls from their arrival to the stored outcome. */
    private fun live(filter: IdempotencyFilter, limits: IdempotencyLimits, count: Int) =
        (1..count).fold(IdempotencyState(instance = "n", limits = limits)) { state, number ->
            val id = RequestId("r$number")
            val attempt = AttemptId(id, epoch = 1, number = 1)
            val written = WriteResult.Written(version = 1)
            val insert = state.nextStoreCallId
            val events = listOf(
                IdempotencyEvent.Arrived(callOf(number)),
                IdempotencyEvent.RecordWritten(id, insert, written),
                IdempotencyEvent.Answered(attempt, OK, "{}"),
                IdempotencyEvent.RecordWritten(id, insert + 1, written),
            )
            events.fold(state) { next, event -> filter.step(next, event, Duration.ZERO).state }
        }

    private fun callOf(number: Int) = ServiceCall(
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

    private fun rowBytes(): Int {
        val state = fill(IdempotencyFilter(), IdempotencyLimits(), count = 1)
        val call = state.calls.values.single()
        val record =
            CallRecord(call.owner, "book", call.serviceCall.fingerprint, budgetMillis = 4_000)
        return CallRecordCodec.encode(checkNotNull(call.recordKey), record).length
    }

    private fun usedBytes(): Long {
        repeat(GC_RUNS) { System.gc() }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }

    /** Counts the reads of a fleet that hears of each change from the first node that reads it. */
    private fun configuration(nodes: Int): ConfigurationReads {
        val start = FleetRun(nodes)
        val end = generateSequence(start) { it.advance(STEP) }
            .first { it.now >= CONFIGURATION_RUN }
        val seconds = CONFIGURATION_RUN / 1.seconds
        return ConfigurationReads(
            nodes = nodes,
            changes = end.head,
            fleetReadsPerSecond = end.reads / seconds,
            nodeReadsPerSecond = end.reads / seconds / nodes,
        )
    }

    /** Counts the store calls of one holder and one candidate. */
    private fun lease(): LeaseFigures {
        val end = generateSequence(LeaseRun()) { it.advance(STEP) }.first { it.now >= LEASE_RUN }
        val seconds = LEASE_RUN / 1.seconds
        return LeaseFigures(end.writes / seconds, end.reads / seconds)
    }

    private companion object {
        const val OK = 200
        const val BODY_CHARS = 200
        const val WARM_UPS = 20
        const val TICKS = 100
        const val GC_RUNS = 3
        const val NANOS_PER_MICRO = 1_000.0
        val RECORD_POINTS = listOf(500, 1_000, 2_000, 4_000)
        val FLEET_POINTS = listOf(4, 16, 48, 128, 330)
        val STEP = 100.milliseconds
        val CONFIGURATION_RUN = 1.hours
        val LEASE_RUN = 10.minutes
    }
}

/** The slopes that [CapacityMeasure] found. */
@Serializable
data class CapacityFigures(
    val records: List<RecordFigures>,
    val configuration: List<ConfigurationReads>,
    val lease: LeaseFigures,
)

/** The cost of calls that hold a record. */
@Serializable
data class RecordFigures(
    val calls: Int,
    val bytesPerCall: Double,
    val microsPerCall: Double,
    val microsPerTick: Double,
    val rowBytes: Int,
)

/** Reads of the store for the configuration, by the size of the fleet. */
@Serializable
data class ConfigurationReads(
    val nodes: Int,
    val changes: Long,
    val fleetReadsPerSecond: Double,
    val nodeReadsPerSecond: Double,
)

/** Store calls of one holder and one candidate of the lease. */
@Serializable
data class LeaseFigures(val writesPerSecond: Double, val readsPerSecond: Double)
