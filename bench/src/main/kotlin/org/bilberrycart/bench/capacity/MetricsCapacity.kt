package org.bilberrycart.bench.capacity

import java.io.ByteArrayOutputStream
import java.util.zip.GZIPOutputStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import kotlinx.serialization.Serializable
import org.bilberrycart.metrics.MetricsAction
import org.bilberrycart.metrics.MetricsEvent
import org.bilberrycart.metrics.MetricsFilter
import org.bilberrycart.metrics.MetricsRegistry
import org.bilberrycart.metrics.MetricsState
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.RequestId
import org.bilberrycart.pipeline.Step

/**
 * Measures the memory, the size of a scrape and the time per event of the metrics.
 *
 * The state and the time depend on the number of organisations; the registry and the scrape depend
 * on how many of them have their own series.
 */
class MetricsCapacity {
    /** Runs all measurements. */
    fun run(): MetricsFigures {
        val state = ORGANISATION_COUNTS.map { Point(it.toDouble(), stateBytes(it)) }
        val registry = SERIES_COUNTS.map { Point(it.toDouble(), registryBytes(it)) }
        val scrape = SERIES_COUNTS.map {
            Point(it.toDouble(), registryOf(it).scrape().length.toDouble())
        }
        val gzip = SERIES_COUNTS.map {
            Point(it.toDouble(), gzipBytes(registryOf(it).scrape()))
        }
        val micros = ORGANISATION_COUNTS.map { Point(it.toDouble(), microsPerEvent(it)) }
        return MetricsFigures(
            stateBytesByOrganisations = state,
            stateBytes = Slope.fit(state),
            registryBytesBySeries = registry,
            registryBytes = Slope.fit(registry),
            scrapeBytesBySeries = scrape,
            scrapeBytes = Slope.fit(scrape),
            gzipBytesBySeries = gzip,
            gzipBytes = Slope.fit(gzip),
            microsPerEventByOrganisations = micros,
        )
    }

    private fun stateBytes(organisations: Int): Double = retainedBytes(copiesOf(organisations)) {
        requests(organisations).fold(MetricsState()) { state, event -> step(state, event).state }
    }

    /**
     * Returns the events of one request for each organisation: it is admitted, releases two tokens
     * and ends before that of the next organisation is admitted.
     */
    private fun requests(organisations: Int): Sequence<MetricsEvent> =
        (0 until organisations).asSequence().flatMap { number ->
            val id = RequestId("request-$number")
            val organisation = OrganisationId("organisation-$number")
            val requestClass = RequestClass.entries[number % RequestClass.entries.size]
            sequenceOf(
                MetricsEvent.Admitted(id, organisation, requestClass, Duration.ZERO),
                MetricsEvent.Released(id, tokens = 1, at = number.milliseconds),
                MetricsEvent.Released(id, tokens = 1, at = (number + GAP_MILLIS).milliseconds),
                MetricsEvent.Ended(id, code = null, at = (number + REQUEST_MILLIS).milliseconds),
            )
        }

    private fun microsPerEvent(organisations: Int): Double {
        val events = requests(organisations).toList()
        val time = medianTime(RUNS) {
            repeat(EVENTS / events.size + 1) {
                events.fold(MetricsState()) { state, event -> step(state, event).state }
            }
        }
        val count = (EVENTS / events.size + 1) * events.size
        return time.toDouble(DurationUnit.MICROSECONDS) / count
    }

    private fun registryBytes(series: Int): Double =
        retainedBytes(REGISTRIES) { registryOf(series) }

    private fun gzipBytes(text: String): Double {
        val bytes = ByteArrayOutputStream()
        GZIPOutputStream(bytes).use { it.write(text.toByteArray()) }
        return bytes.size().toDouble()
    }

    /**
     * Returns a registry with all histograms of every request class, for [series] organisations
     * with their own series and one more that uses the shared series.
     */
    private fun registryOf(series: Int): MetricsRegistry {
        val filter = MetricsFilter(series, MAX_TRACKED)
        val registry = MetricsRegistry { emptyList() }
        val events = (0..series).asSequence().flatMap { organisation ->
            RequestClass.entries.asSequence().flatMap { requestEvents(organisation, it) }
        }
        events.fold(MetricsState()) { state, event ->
            filter.step(state, event, Duration.ZERO)
                .also { it.actions.forEach(registry::accept) }.state
        }
        return registry
    }

    /** Returns the events of one request that is resumed once. */
    private fun requestEvents(
        organisation: Int,
        requestClass: RequestClass,
    ): Sequence<MetricsEvent> {
        val id = RequestId("$organisation-$requestClass")
        val name = OrganisationId("organisation-$organisation")
        return sequenceOf(
            MetricsEvent.Admitted(id, name, requestClass, Duration.ZERO),
            MetricsEvent.Released(id, tokens = 2, at = GAP_MILLIS.milliseconds),
            MetricsEvent.Resumed(id, GAP_MILLIS.milliseconds),
            MetricsEvent.Ended(id, code = null, at = REQUEST_MILLIS.milliseconds),
        )
    }

    private fun step(state: MetricsState, event: MetricsEvent): Step<MetricsState, MetricsAction> =
        FILTER.step(state, event, Duration.ZERO)

    private companion object {
        const val REGISTRIES = 20
        const val RUNS = 9
        const val EVENTS = 40_000
        const val MAX_TRACKED = 2_000
        const val MAX_SERIES = 20
        const val GAP_MILLIS = 40
        const val REQUEST_MILLIS = 80
        val FILTER = MetricsFilter(MAX_SERIES, MAX_TRACKED)
        val ORGANISATION_COUNTS = listOf(10, 100, 1_000, 4_000, 7_900)
        val SERIES_COUNTS = listOf(0, 10, 20, 50, 100)
    }
}

/** The results of [MetricsCapacity]: the measured points and the lines fitted through them. */
@Serializable
data class MetricsFigures(
    val stateBytesByOrganisations: List<Point>,
    val stateBytes: Slope,
    val registryBytesBySeries: List<Point>,
    val registryBytes: Slope,
    val scrapeBytesBySeries: List<Point>,
    val scrapeBytes: Slope,
    val gzipBytesBySeries: List<Point>,
    val gzipBytes: Slope,
    val microsPerEventByOrganisations: List<Point>,
)
