package org.bilberrycart.bench.traffic

import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.HdrHistogram.Histogram
import org.bilberrycart.model.RequestClass
import org.bilberrycart.pipeline.Ring

/**
 * The duty that keeps the histograms of a load.
 *
 * Callers put samples into its ring; only its thread touches the histograms until [close].
 *
 * @property window samples of other times are left out, such as those of the warm-up.
 */
class Meter(private val window: ClosedRange<Duration> = Duration.ZERO..Duration.INFINITE) :
    AutoCloseable {
    private data class Key(val measure: Measure, val group: RequestClass, val minute: Long)

    /** One sample taken at [at] from the start of the load. */
    private data class Sample(
        val measure: Measure,
        val group: RequestClass,
        val at: Duration,
        val value: Duration,
    )

    private val ring = Ring<Sample>("meter", CAPACITY)
    private var histograms: PersistentMap<Key, Histogram> = persistentMapOf()
    private val worker = thread(name = "meter", isDaemon = true) {
        while (!ring.isDone()) ring.takeAll().forEach(::record)
    }

    /** Takes one sample; waits while the ring is full. */
    fun sample(measure: Measure, group: RequestClass, at: Duration, value: Duration) {
        if (at in window) ring.put(Sample(measure, group, at, value))
    }

    /** Ends sampling; the quantiles can be read after this. */
    override fun close() {
        ring.close()
        worker.join()
    }

    /** Returns the quantiles of [measure] over [groups]; call [close] first. */
    fun quantiles(
        measure: Measure,
        groups: Collection<RequestClass> = RequestClass.entries,
    ): Quantiles {
        check(!worker.isAlive) { "the meter is still running" }
        val minutes = histograms.entries
            .filter { it.key.measure == measure && it.key.group in groups }
            .groupBy({ it.key.minute }, { it.value })
            .values
            .map { parts -> Quantiles.newHistogram().also { parts.forEach(it::add) } }
        return Quantiles.of(minutes)
    }

    private fun record(sample: Sample) {
        val key = Key(sample.measure, sample.group, sample.at.inWholeMinutes)
        val histogram = histograms[key]
            ?: Quantiles.newHistogram().also { histograms = histograms.put(key, it) }
        histogram.recordValue(sample.value.inWholeMicroseconds.coerceAtLeast(0))
    }

    private companion object {
        const val CAPACITY = 65_536
    }
}
