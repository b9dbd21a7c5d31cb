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

/** Measures what metrics cost by the number of organisations and of series by name. */
class MetricsCapacity {
    /** Runs all measurements. */
    fun run(): MetricsFigures {
        val state = ORGANISATIONS.map { Point(it.toDouble(), stateBytes(it)) }
        val registry = SERIES.map { Point(it.toDouble(), registryBytes(it)) }
        val scrape = SERIES.map { Point(it.toDouble(), filled(it).scrape().length.toDouble()) }
        val gzip = SERIES.map { Point(it.toDouble(), gzipBytes(filled(it).scrape())) }
        val step = ORGANISATIONS.map { Point(it.toDouble(), microsPerEvent(it)) }
        return MetricsFigures(
            stateBytesByOrganisations = state,
            stateBytes = Slope.fit(state),
            registryBytesBySeries = registry,
            registryBytes = Slope.fit(registry),
            scrapeBytesBySeries = scrape,
            scrapeBytes = Slope.fit(scrape),
            gzipBytesBySeries = gzip,
            gzipBytes = Slope.fit(gzip),
            microsPerEventByOrganisations = step,
        )
    }

    private fun stateBytes(organisations: Int): Double = retainedBytes(copiesOf(organisations)) {
        requests(organisations).fold(MetricsState()) { state, event -> step(state, event).state }
    }

    /** Each request is admitted, releases two tokens and ends; organisations take turns. */
    private fun requests(organisations: Int): Sequence<MetricsEvent> =
        (0 until organisations).asSequence().flatMap { number ->
            val id = RequestId("request-$number")
            val organisation = OrganisationId("organisation-$number")
            val requestClass = RequestClass.entries[number % RequestClass.entries.size]
            sequenceOf(
                MetricsEvent.Admitted(id, organisation, requestClass, Duration.ZERO),
                MetricsEvent.Released(id, tokens = 1, at = number.milliseconds),
                MetricsEvent.Released(id, tokens = 1, at = (number + GAP_MILLIS).milliseconds),
                MetricsEvent.Ended(id, code = null, at = (number + END_MILLIS).milliseconds),
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

    private fun registryBytes(series: Int): Double = retainedBytes(REGISTRIES) { filled(series) }

    private fun gzipBytes(text: String): Double {
        val bytes = ByteArrayOutputStream()
        GZIPOutputStream(bytes).use { it.write(text.toByteArray()) }
        return bytes.size().toDouble()
    }

    /** A registry with each measure of each class of [series] organisations and the others. */
    private fun filled(series: Int): MetricsRegistry {
        val filter = MetricsFilter(series, TRACKED)
        val registry = MetricsRegistry { emptyList() }
        val events = (0..series).asSequence().flatMap { organisation ->
            RequestClass.entries.asSequence().flatMap { life(organisation, it) }
        }
        events.fold(MetricsState()) { state, event ->
            filter.step(state, event, Duration.ZERO)
                .also { it.actions.forEach(registry::accept) }.state
        }
        return registry
    }

    private fun life(organisation: Int, requestClass: RequestClass): Sequence<MetricsEvent> {
        val id = RequestId("$organisation-$requestClass")
        val name = OrganisationId("organisation-$organisation")
        return sequenceOf(
            MetricsEvent.Admitted(id, name, requestClass, Duration.ZERO),
            MetricsEvent.Released(id, tokens = 2, at = GAP_MILLIS.milliseconds),
            MetricsEvent.Resumed(id, GAP_MILLIS.milliseconds),
            MetricsEvent.Ended(id, code = null, at = END_MILLIS.milliseconds),
        )
    }

    private fun step(state: MetricsState, event: MetricsEvent): Step<MetricsState, MetricsAction> =
        FILTER.step(state, event, Duration.ZERO)

    private companion object {
        const val REGISTRIES = 20
        const val RUNS = 9
        const val EVENTS = 40_000
        const val TRACKED = 2_000
        const val NAMED = 20
        const val GAP_MILLIS = 40
        const val END_MILLIS = 80
        val FILTER = MetricsFilter(NAMED, TRACKED)
        val ORGANISATIONS = listOf(10, 100, 1_000, 4_000, 7_900)
        val SERIES = listOf(0, 10, 20, 50, 100)
    }
}

/** What [MetricsCapacity] found. */
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
