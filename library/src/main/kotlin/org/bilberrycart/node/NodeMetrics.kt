package org.bilberrycart.node

import kotlin.time.Duration.Companion.milliseconds
import org.bilberrycart.metrics.MetricsEvent
import org.bilberrycart.metrics.MetricsFilter
import org.bilberrycart.metrics.MetricsRegistry
import org.bilberrycart.metrics.MetricsState
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.pipeline.Duty
import org.bilberrycart.pipeline.InvariantViolation
import org.bilberrycart.pipeline.Ring
import org.bilberrycart.pipeline.RingStats
import org.bilberrycart.settings.LimitSettings
import org.bilberrycart.timer.Ticker

/**
 * The metrics duty of a node.
 *
 * Events are dropped while its ring is full, so that measuring never delays a request; the ring
 * counts what it refused.
 */
internal class NodeMetrics(limits: LimitSettings, clock: Clock, rings: () -> List<RingStats>) :
    NodeObserver,
    AutoCloseable {
    private val ring = Ring<MetricsEvent>("metrics", RING_CAPACITY)
    private val registry = MetricsRegistry { rings() + ring.stats() }
    private val duty = Duty(
        name = "metrics",
        ring = ring,
        initial = MetricsState(),
        filter = MetricsFilter(limits.organisationSeries, limits.generations),
        clock = clock,
        sink = registry,
    )
    private val ticker = Ticker(TICK_PERIOD, listOf(Ticker.Target(ring) { MetricsEvent.Tick }))

    /** Starts the duty and its timer. */
    fun start() {
        duty.start()
        ticker.start()
    }

    /** Returns all metrics in the Prometheus text format. */
    fun scrape(): String = registry.scrape()

    override fun count(event: MetricsEvent) {
        ring.offer(event)
    }

    override fun eventFailed(duty: String, cause: Throwable) {
        val name = (cause as? InvariantViolation)?.invariant ?: "unexpected_in_$duty"
        ring.offer(MetricsEvent.InvariantBroken(name))
    }

    override fun close() {
        ticker.close()
        duty.close()
    }

    private companion object {
        const val RING_CAPACITY = 65_536
        val TICK_PERIOD = 200.milliseconds
    }
}
