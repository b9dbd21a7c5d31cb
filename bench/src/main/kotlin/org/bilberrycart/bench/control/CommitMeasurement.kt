package org.bilberrycart.bench.control

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.Serializable
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.pipeline.Duty
import org.bilberrycart.pipeline.Ring
import org.bilberrycart.standins.platform.PlatformStandIn
import org.bilberrycart.store.Condition
import org.bilberrycart.store.HttpTableClient
import org.bilberrycart.store.PlatformEvent
import org.bilberrycart.store.PlatformFilter
import org.bilberrycart.store.PlatformLimits
import org.bilberrycart.store.PlatformSink
import org.bilberrycart.store.PlatformState
import org.bilberrycart.store.RowKey
import org.bilberrycart.store.RowWrite
import org.bilberrycart.store.StoreContext
import org.bilberrycart.store.StoreResult
import org.bilberrycart.store.WriteGroup
import org.bilberrycart.timer.Ticker

/**
 * Measures inserts of keys through the platform duty into a stand-in's table with a write limit.
 *
 * @property keysPerSecond the number of keys offered each second.
 * @property groupsPerTransaction the most write groups in one transaction; with 1, each write is a
 *   store call of its own.
 * @property length how long keys are offered after the warm-up, whose keys are not counted.
 */
class CommitMeasurement(
    private val keysPerSecond: Double,
    private val groupsPerTransaction: Int,
    private val length: Duration = 10.seconds,
) {
    private data class Insert(val number: Int, val sentAt: Duration) : StoreContext

    private val clock = Clock()
    private val ring = Ring<PlatformEvent>("platform", RING_CAPACITY)
    private val latencies = LatencyRecorder()
    private val refused = AtomicLong()
    private val lastInsertMillis = AtomicLong()
    private val warmUpCount = (WARM_UP / 1.seconds * keysPerSecond).toInt()

    /** Runs the measurement. */
    fun run(): CommitFigures = PlatformStandIn().start().use { standin ->
        HttpTableClient("http://127.0.0.1:${standin.port}").use { table -> measure(table) }
    }

    private fun measure(table: HttpTableClient): CommitFigures {
        val count = ((WARM_UP + length) / 1.seconds * keysPerSecond).toInt()
        val remaining = CountDownLatch(count)
        val duty = Duty(
            name = "platform",
            ring = ring,
            initial = PlatformState(limits()),
            filter = PlatformFilter(),
            clock = clock,
            sink = PlatformSink(table, ring, onResult = { context, result ->
                insertFinished(context as Insert, result)
                remaining.countDown()
            }),
        ).start()
        val ticker =
            Ticker(TICK_INTERVAL, listOf(Ticker.Target(ring) { PlatformEvent.Tick })).start()
        val start = clock.now()
        Pacer(keysPerSecond, WARM_UP + length).run(clock) { ring.put(insert(it)) }
        remaining.await(COMPLETION_TIMEOUT.inWholeSeconds, TimeUnit.SECONDS)
        ticker.close()
        duty.close()
        return figures(start + WARM_UP)
    }

    private fun limits() = PlatformLimits.shareOf(nodes = 1)
        .copy(maxGroupsPerTransaction = groupsPerTransaction)

    private fun insert(number: Int): PlatformEvent.Write {
        val now = clock.now()
        val row = RowWrite(RowKey("calls", "key-$number"), Condition.Absent, VALUE)
        return PlatformEvent.Write(Insert(number, now), WriteGroup.of(row), now + WRITE_TIMEOUT)
    }

    private fun insertFinished(insert: Insert, result: StoreResult) {
        if (insert.number < warmUpCount) return
        when (result) {
            is StoreResult.Applied -> {
                latencies.add(clock.now() - insert.sentAt)
                lastInsertMillis.set(clock.now().inWholeMilliseconds)
            }
            else -> refused.incrementAndGet()
        }
    }

    private fun figures(start: Duration): CommitFigures {
        val summary = latencies.summary()
        val elapsed = lastInsertMillis.get().milliseconds - start
        return CommitFigures(
            groupsPerTransaction = groupsPerTransaction,
            offeredPerSecond = keysPerSecond,
            offered = (length / 1.seconds * keysPerSecond).toInt(),
            inserted = summary.count,
            refused = refused.get(),
            insertedPerSecond = summary.count / (elapsed / 1.seconds),
            latency = summary,
        )
    }

    private companion object {
        const val RING_CAPACITY = 65_536
        val WARM_UP = 3.seconds
        val WRITE_TIMEOUT = 3.seconds
        val COMPLETION_TIMEOUT = 15.seconds
        val TICK_INTERVAL = 10.milliseconds
        val VALUE = "x".repeat(n = 300)
    }
}

/**
 * The results of one run of [CommitMeasurement]; the warm-up is not counted.
 *
 * @property offered the number of keys offered.
 * @property inserted the number of keys written.
 * @property refused the number of keys with any other result.
 * @property latency times from the offer of a key to its confirmed write.
 */
@Serializable
data class CommitFigures(
    val groupsPerTransaction: Int,
    val offeredPerSecond: Double,
    val offered: Int,
    val inserted: Long,
    val refused: Long,
    val insertedPerSecond: Double,
    val latency: LatencySummary,
)
