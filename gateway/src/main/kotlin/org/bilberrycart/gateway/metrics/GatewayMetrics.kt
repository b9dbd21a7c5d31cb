package org.bilberrycart.gateway.metrics

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.DurationUnit
import org.bilberrycart.gateway.http.UnownedEnd
import org.bilberrycart.pipeline.RingStats

/** The counters and histograms of a gateway node. */
public class GatewayMetrics(
    rings: () -> List<RingStats>,
    droppedLines: () -> Long,
    retryUses: () -> List<ServiceRetryUse> = { emptyList() },
) {
    private val registry = PrometheusRegistry()
    private val calls = Counter.builder().name("bilberrycart_gateway_calls_total")
        .help("Calls that ended, by route and outcome.")
        .labelNames("route", "outcome").register(registry)
    private val attempts = Counter.builder().name("bilberrycart_gateway_attempts_total")
        .help("Attempts sent to upstreams, by service and by whether they are first or repeat.")
        .labelNames("service", "kind").register(registry)
    private val refusedRetries = Counter.builder().name(
        "bilberrycart_gateway_retries_refused_total",
    )
        .help("Retries that the retry budget of their service did not allow when they were due.")
        .labelNames("service").register(registry)
    private val statusChanges = Counter.builder().name("bilberrycart_gateway_beliefs_total")
        .help("Status changes that the node detected, by subject and belief.")
        .labelNames("subject", "belief").register(registry)
    private val dutyFailures = Counter.builder().name("bilberrycart_gateway_duty_failures_total")
        .help("Events that a duty could not handle, and duties that ended, by duty and kind.")
        .labelNames("duty", "kind").register(registry)
    private val unreadableConfigurations =
        Counter.builder().name("bilberrycart_gateway_configuration_unreadable_total")
            .help("Configurations, and parts of others, that could not be read.")
            .labelNames("what").register(registry)
    private val unreadableRows = Gauge.builder().name("bilberrycart_gateway_rows_unreadable")
        .help("Rows of a table of the store that cannot be read at present.")
        .labelNames("table").register(registry)
    private val givenUpCalls =
        Counter.builder().name("bilberrycart_gateway_store_calls_given_up_total")
            .help("Calls to the store that were not answered in time, by table.")
            .labelNames("table").register(registry)
    private val unownedCalls =
        Counter.builder().name("bilberrycart_gateway_unowned_calls_total")
            .help("Calls that no duty owned and that were ended for that, by how they ended.")
            .labelNames("end").register(registry)
    private val callSeconds = Histogram.builder().name("bilberrycart_gateway_call_seconds")
        .help("Time from the head of a request to the end of its answer, by route.")
        .classicOnly().classicExponentialUpperBounds(
            FIRST_BOUND_SECONDS,
            BOUND_RATIO,
            BOUND_COUNT,
        ).labelNames("route").register(registry)
    private val answerSeconds = Histogram.builder().name("bilberrycart_gateway_answer_seconds")
        .help("Time to the answer or the first event, by organisation.")
        .classicOnly().classicExponentialUpperBounds(
            FIRST_BOUND_SECONDS,
            BOUND_RATIO,
            BOUND_COUNT,
        ).labelNames("organisation").register(registry)

    private val resumeSeconds = Histogram.builder().name("bilberrycart_gateway_resume_seconds")
        .help("Pause of a stream from the last event of a lost attempt to the next event.")
        .classicOnly().classicExponentialUpperBounds(FIRST_BOUND_SECONDS, BOUND_RATIO, BOUND_COUNT)
        .register(registry)

    init {
        ringGauge("held", "Items in each ring.", rings) { it.held.toDouble() }
        ringGauge("refused", "Items refused since the start, as the ring was full.", rings) {
            it.refused.toDouble()
        }
        ringGauge("waits", "How often a thread has waited for room since the start.", rings) {
            it.waits.toDouble()
        }
        ringGauge("longest_wait_seconds", "Longest wait for room since the start.", rings) {
            it.longestWait.toDouble(DurationUnit.SECONDS)
        }
        GaugeWithCallback.builder().name("bilberrycart_gateway_log_lines_dropped")
            .help("Log lines dropped since the start because the queue was full.")
            .callback { gauge -> gauge.call(droppedLines().toDouble()) }
            .register(registry)
        GaugeWithCallback.builder().name("bilberrycart_gateway_retry_budget_use")
            .help("First attempts and retries in the window of the retry budget, by service.")
            .labelNames("service", "nodes", "kind")
            .callback { gauge -> retryUses().forEach { showUse(gauge, it) } }
            .register(registry)
    }

    /** Adds gauges of the configuration [version] in force and of the tables of the store. */
    public fun watchDiscovery(version: () -> Long?, feeds: () -> List<FeedStats>) {
        GaugeWithCallback.builder().name("bilberrycart_gateway_configuration_version")
            .help("Version of the configuration in force.")
            .callback { gauge -> version()?.let { gauge.call(it.toDouble()) } }
            .register(registry)
        feedGauge("table_version", "Version as of which a table is known.", feeds) {
            it.version?.number?.toDouble()
        }
        feedGauge("store_era", "How often the store came back from an older copy.", feeds) {
            it.version?.era?.toDouble()
        }
        feedGauge("store_answer_age_seconds", "Time since the store answered.", feeds) {
            it.answerAge?.toDouble(DurationUnit.SECONDS)
        }
        feedGauge("store_call_age_seconds", "Age of the call that is pending.", feeds) {
            it.callAge?.toDouble(DurationUnit.SECONDS)
        }
    }

    /** Counts a call about [table] that the store has not answered in time. */
    public fun storeCallGivenUp(table: String): Unit = givenUpCalls.labelValues(table).inc()

    /** Counts a call that no duty owned, by how it was ended. */
    internal fun unownedCallEnded(end: UnownedEnd): Unit =
        unownedCalls.labelValues(end.name.lowercase()).inc()

    private fun ringGauge(
        name: String,
        help: String,
        rings: () -> List<RingStats>,
        value: (RingStats) -> Double,
    ) {
        GaugeWithCallback.builder().name("bilberrycart_gateway_ring_$name").help(help)
            .labelNames("ring")
            .callback { gauge -> rings().forEach { gauge.call(value(it), it.name) } }
            .register(registry)
    }

    private fun feedGauge(
        name: String,
        help: String,
        feeds: () -> List<FeedStats>,
        value: (FeedStats) -> Double?,
    ) {
        GaugeWithCallback.builder().name("bilberrycart_gateway_$name").help(help)
            .labelNames("table")
            .callback { gauge ->
                feeds().forEach { feed -> value(feed)?.let { gauge.call(it, feed.table) } }
            }
            .register(registry)
    }

    /** Counts a configuration that can't be read. */
    public fun configurationUnreadable(): Unit = unreadableConfigurations.labelValues("whole").inc()

    /** Counts [count] parts of a configuration, such as routes, that can't be read. */
    public fun configurationPartsUnreadable(count: Int): Unit =
        unreadableConfigurations.labelValues("part").inc(count.toLong())

    /** Sets how many rows of [table] can't be read at present. */
    public fun rowsUnreadable(table: String, count: Int): Unit =
        unreadableRows.labelValues(table).set(count.toDouble())

    /** Counts a call of [route] that ended with [outcome] after [elapsed]. */
    public fun ended(route: String, outcome: String, elapsed: Duration) {
        calls.labelValues(route, outcome).inc()
        callSeconds.labelValues(route).observe(elapsed.toDouble(DurationUnit.SECONDS))
    }

    /** Records that [organisation] got an answer, or the first event of one, after [elapsed]. */
    public fun answered(organisation: String?, elapsed: Duration): Unit =
        answerSeconds.labelValues(organisation.orEmpty())
            .observe(elapsed.toDouble(DurationUnit.SECONDS))

    /** Records that a stream resumed after [pause]. */
    public fun resumed(pause: Duration): Unit =
        resumeSeconds.observe(pause.toDouble(DurationUnit.SECONDS))

    /** Counts an attempt sent to [service]; [isRetry] if the call was sent before. */
    public fun sent(service: String, isRetry: Boolean): Unit =
        attempts.labelValues(service, if (isRetry) "repeat" else "first").inc()

    /** Counts a retry of a call to [service] that the retry budget did not allow. */
    public fun retryRefused(service: String): Unit = refusedRetries.labelValues(service).inc()

    private fun showUse(gauge: GaugeWithCallback.Callback, use: ServiceRetryUse) {
        gauge.call(use.own.firstDispatches.toDouble(), use.service, "own", "first")
        gauge.call(use.own.retries.toDouble(), use.service, "own", "repeat")
        gauge.call(use.peers.firstDispatches.toDouble(), use.service, "peers", "first")
        gauge.call(use.peers.retries.toDouble(), use.service, "peers", "repeat")
    }

    /** Counts a change of the status of [subject] to [belief]. */
    public fun statusChanged(subject: String, belief: String): Unit =
        statusChanges.labelValues(subject, belief).inc()

    /** Counts a failure of [duty]: one event, or with [hasEnded] its thread. */
    public fun dutyFailed(duty: String, hasEnded: Boolean): Unit =
        dutyFailures.labelValues(duty, if (hasEnded) "ended" else "event").inc()

    /** Returns all metrics in the text format of Prometheus. */
    public fun text(): String = ByteArrayOutputStream().also {
        PrometheusTextFormatWriter.create().write(it, registry.scrape())
    }.toString(Charsets.UTF_8)

    private companion object {
        /** The first upper bound of the histograms, in seconds; the last is about 36 s. */
        const val FIRST_BOUND_SECONDS = 0.02
        const val BOUND_RATIO = 1.78
        const val BOUND_COUNT = 14
    }
}
