package org.bilberrycart.bench.load

import java.lang.management.ManagementFactory
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.Serializable
import org.bilberrycart.bench.fleet.LocalFleet
import org.bilberrycart.bench.traffic.Caller
import org.bilberrycart.bench.traffic.CallerTarget
import org.bilberrycart.bench.traffic.LoadRun
import org.bilberrycart.bench.traffic.LoadTotals
import org.bilberrycart.bench.traffic.Meter

/**
 * The resources that this process uses while streams are open.
 *
 * @property openStreams the number of streams that were open at that time.
 * @property threads the number of live threads.
 * @property heapMegabytes the heap in use after a garbage collection.
 */
@Serializable
data class Footprint(val openStreams: Int, val threads: Int, val heapMegabytes: Double)

/**
 * The footprint of the same load sent directly to engines and through a node.
 *
 * @property nodeThreads the threads that the node adds: the difference of both footprints.
 * @property nodeHeapMegabytes the heap that the node adds: the difference of both footprints.
 */
@Serializable
data class FootprintReport(
    val direct: Footprint,
    val node: Footprint,
    val nodeThreads: Int,
    val nodeHeapMegabytes: Double,
    val totals: LoadTotals,
)

/** Measures the threads and the heap that a node uses while many streams are open. */
class FootprintMeasurement(private val shape: LoadShape) {
    /** Measures the direct path, then the path through a node. */
    fun run(): FootprintReport {
        val (direct, _) = LocalFleet(shape.fleet()).use { sample(it, it.engineTarget) }
        val (node, totals) = LocalFleet(shape.fleet()).use { fleet ->
            fleet.startNodes().use { sample(fleet, it.target) }
        }
        return FootprintReport(
            direct = direct,
            node = node,
            nodeThreads = node.threads - direct.threads,
            nodeHeapMegabytes = node.heapMegabytes - direct.heapMegabytes,
            totals = totals,
        )
    }

    private data class FootprintSample(val footprint: Footprint, val totals: LoadTotals)

    private fun sample(fleet: LocalFleet, target: CallerTarget): FootprintSample {
        val meter = Meter(shape.window)
        return Caller().use { caller ->
            val run = LoadRun(shape.arrivals(), target, caller, meter, fleet.writes)
            var totals = LoadTotals()
            val worker = thread(name = "load") { totals = run.run(ANSWER_TIMEOUT) }
            Thread.sleep(shape.seconds.seconds.inWholeMilliseconds)
            val footprint = currentFootprint(run.openCount)
            worker.join()
            meter.close()
            FootprintSample(footprint, totals)
        }
    }

    /** Collects garbage first, so that the heap in use holds live objects only. */
    @Suppress("ExplicitGarbageCollectionCall")
    private fun currentFootprint(openStreams: Int): Footprint {
        System.gc()
        val heap = ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
        val threads = ManagementFactory.getThreadMXBean().threadCount
        return Footprint(openStreams, threads, heap / BYTES_PER_MEGABYTE)
    }

    private companion object {
        val ANSWER_TIMEOUT = 60.seconds
        const val BYTES_PER_MEGABYTE = 1e6
    }
}
