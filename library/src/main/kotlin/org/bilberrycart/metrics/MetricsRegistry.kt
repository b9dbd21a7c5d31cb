package org.bilberrycart.metrics

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.DurationUnit
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.ResultCode
import org.bilberrycart.pipeline.RingStats
import org.bilberrycart.pipeline.Sink

/**
 * The counters, gauges and histograms of one node, as scraped by Prometheus.
 *
 * @property rings returns the current counters of the rings; it is called at each scrape.
 */
public class MetricsRegistry(private val rings: () -> List<RingStats>) : Sink<MetricsAction> {
    private val registry = PrometheusRegistry()
    private val results =
        counter("results", "Ended answers by result code; 0 is a complete answer.", "code")
    private val tokens = counter("tokens", "Tokens released to callers.")
    private val losses = counter("losses", "Lost attempts by cause.", "cause")
    private val resumes = counter("resumes", "Generations resumed after the loss of an upstream.")
    private val strayTokens = counter("stray_tokens", "Tokens rejected by the journal.")
    private val invariants =
        counter("invariants_broken", "Invariant violations by invariant.", "invariant")
    private val untracked =
        counter("untracked_requests", "Requests not timed because too many were in flight.")
    private val worstMinute: Gauge = Gauge.builder()
        .name("bilberrycart_worst_minute_seconds")
        .help("95th percentile of the worst minute of the last hour.")
        .labelNames("class", "measure")
        .register(registry)
    private val histograms: Map<Measure, Histogram> = Measure.entries.associateWith(::histogram)

    init {
        ringCounter("accepted", "Items accepted by the ring.") { it.accepted }
        ringCounter("taken", "Items taken out of the ring.") { it.taken }
        ringCounter("refused", "Items refused because the ring was full.") { it.refused }
        GaugeWithCallback.builder()
            .name("bilberrycart_ring_held")
            .help("Items in the ring.")
            .labelNames("ring")
            .callback { call -> rings().forEach { call.call(it.held.toDouble(), it.name) } }
            .register(registry)
    }

    override fun accept(action: MetricsAction) {
        when (action) {
            is MetricsAction.Observe -> observe(action)
            is MetricsAction.RemoveSeries -> removeSeries(action.series)
            is MetricsAction.SetWorstMinute ->
                worstMinute.labelValues(labelOf(action.requestClass), labelOf(action.measure))
                    .set(seconds(action.wait))
            is MetricsAction.CountResult -> results.labelValues(labelOf(action.code)).inc()
            is MetricsAction.CountTokens -> tokens.inc(action.tokens.toLong())
            is MetricsAction.CountLoss -> losses.labelValues(labelOf(action.cause)).inc()
            MetricsAction.CountResume -> resumes.inc()
            MetricsAction.CountStray -> strayTokens.inc()
            is MetricsAction.CountInvariant -> invariants.labelValues(action.invariant).inc()
            MetricsAction.CountUntracked -> untracked.inc()
        }
    }

    /** Returns all metrics in the Prometheus text format. */
    public fun scrape(): String {
        val bytes = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(bytes, registry.scrape())
        return bytes.toString(Charsets.UTF_8)
    }

    private fun observe(action: MetricsAction.Observe) {
        val point = histograms.getValue(action.measure)
            .labelValues(action.series.label, labelOf(action.requestClass))
        repeat(action.count) { point.observe(seconds(action.wait)) }
    }

    private fun removeSeries(series: OrganisationSeries.Named) {
        histograms.values.forEach { histogram ->
            RequestClass.entries.forEach { histogram.remove(series.label, labelOf(it)) }
        }
    }

    private fun counter(name: String, help: String, vararg labels: String): Counter =
        Counter.builder()
            .name("bilberrycart_$name")
            .help(help)
            .labelNames(*labels)
            .register(registry)

    private fun ringCounter(name: String, help: String, value: (RingStats) -> Long) {
        CounterWithCallback.builder()
            .name("bilberrycart_ring_$name")
            .help(help)
            .labelNames("ring")
            .callback { call -> rings().forEach { call.call(value(it).toDouble(), it.name) } }
            .register(registry)
    }

    @Suppress("SpreadOperator")
    private fun histogram(measure: Measure): Histogram = Histogram.builder()
        .name(measure.metric)
        .help(measure.help)
        .classicOnly()
        .classicUpperBounds(*BOUNDS_SECONDS)
        .labelNames("organisation", "class")
        .register(registry)

    private fun seconds(wait: Duration): Double = wait.toDouble(DurationUnit.SECONDS)

    private fun labelOf(code: ResultCode?): String = code?.let { "${it.number}" } ?: "0"

    private fun labelOf(value: Enum<*>): String = value.name.lowercase()

    private companion object {
        @Suppress("MagicNumber")
        val BOUNDS_SECONDS = doubleArrayOf(
            0.005, 0.01, 0.02, 0.047, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 15.0, 60.0, 300.0, 1_800.0,
        )
    }
}
