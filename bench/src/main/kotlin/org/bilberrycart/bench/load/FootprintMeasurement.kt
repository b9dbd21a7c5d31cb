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
 * What this process holds while streams are open.
 *
 * @property openStreams the streams that were open when the rest was read.
 * @property heapMegabytes the heap in use after a collection.
 */
@Serializable
data class Footprint(val openStreams: Int, val threads: Int, val heapMegabytes: Double)

/** The footprint of the same load directly and through a node; the node takes the difference. */
@Serializable
data class FootprintReport(
    val direct: Footprint,
    val node: Footprint,
    val nodeThreads: Int,
    val nodeHeapMegabytes: Double,
    val totals: LoadTotals,
)

/** Measures the threads and the heap that a node takes for many open streams. */
class FootprintMeasurement(private val shape: LoadShape) {
    /** Runs the direct path, then the path through a node. */
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

    private data class Sampled(val footprint: Footprint, val totals: LoadTotals)

    private fun sample(fleet: LocalFleet, target: CallerTarget): Sampled {
        val meter = Meter(shape.window)
        return Caller().use { caller ->
            val run = LoadRun(shape.arrivals(), target, caller, meter, fleet.writes)
            var totals = LoadTotals()
            val worker = thread(name = "load") { totals = run.run(PATIENCE) }
            Thread.sleep(shape.seconds.seconds.inWholeMilliseconds)
            val footprint = read(run.openCount)
            worker.join()
            meter.close()
            Sampled(footprint, totals)
        }
    }

    /** Collects first, so that the heap in use holds no garbage. */
    @Suppress("ExplicitGarbageCollectionCall")
    private fun read(openStreams: Int): Footprint {
        System.gc()
        val heap = ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
        val threads = ManagementFactory.getThreadMXBean().threadCount
        return Footprint(openStreams, threads, heap / BYTES_PER_MEGABYTE)
    }

    private companion object {
        val PATIENCE = 60.seconds
        const val BYTES_PER_MEGABYTE = 1e6
    }
}
