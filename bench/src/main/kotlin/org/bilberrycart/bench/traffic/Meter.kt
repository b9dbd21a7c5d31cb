package org.bilberrycart.bench.traffic

import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.HdrHistogram.Histogram
import org.bilberrycart.model.RequestClass
import org.bilberrycart.pipeline.Ring

/**
 * The duty that records the latency samples of a load in histograms.
 *
 * Callers put samples into its ring. Only its own thread writes the histograms, and others may read
 * them after [close].
 *
 * @property window the time since the start of the load in which samples count; samples outside it,
 *   such as those of the warm-up, are dropped.
 */
class Meter(private val window: ClosedRange<Duration> = Duration.ZERO..Duration.INFINITE) :
    AutoCloseable {
    private data class Key(
        val measure: TrafficMeasure,
        val requestClass: RequestClass,
        val minute: Long,
    )

    /** A sample taken at the time [at] since the start of the load. */
    private data class Sample(
        val measure: TrafficMeasure,
        val requestClass: RequestClass,
        val at: Duration,
        val value: Duration,
    )

    private val ring = Ring<Sample>("meter", RING_CAPACITY)
    private var histograms: PersistentMap<Key, Histogram> = persistentMapOf()
    private val worker = thread(name = "meter", isDaemon = true) {
        while (!ring.isDone()) ring.takeAll().forEach(::record)
    }

    /** Adds a sample; blocks while the ring is full. */
    fun sample(measure: TrafficMeasure, requestClass: RequestClass, at: Duration, value: Duration) {
        if (at in window) ring.put(Sample(measure, requestClass, at, value))
    }

    /** Records all samples in the ring and stops; quantiles can be read afterwards. */
    override fun close() {
        ring.close()
        worker.join()
    }

    /** Returns the quantiles of [measure] over [requestClasses]. Fails before [close]. */
    fun quantiles(
        measure: TrafficMeasure,
        requestClasses: Collection<RequestClass> = RequestClass.entries,
    ): Quantiles {
        check(!worker.isAlive) { "the meter is still running" }
        val minutes = histograms.entries
            .filter { it.key.measure == measure && it.key.requestClass in requestClasses }
            .groupBy({ it.key.minute }, { it.value })
            .values
            .map { parts -> Quantiles.newHistogram().also { parts.forEach(it::add) } }
        return Quantiles.of(minutes)
    }

    private fun record(sample: Sample) {
        val key = Key(sample.measure, sample.requestClass, sample.at.inWholeMinutes)
        val histogram = histograms[key]
            ?: Quantiles.newHistogram().also { histograms = histograms.put(key, it) }
        histogram.recordValue(sample.value.inWholeMicroseconds.coerceAtLeast(0))
    }

    private companion object {
        const val RING_CAPACITY = 65_536
    }
}
