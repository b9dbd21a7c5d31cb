package org.bilberrycart.bench.load

import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import org.bilberrycart.bench.fleet.LocalFleet
import org.bilberrycart.bench.traffic.Caller
import org.bilberrycart.bench.traffic.CallerTarget
import org.bilberrycart.bench.traffic.LoadRun
import org.bilberrycart.bench.traffic.Meter
import org.bilberrycart.bench.traffic.TrafficMeasure

/** Compares the latency of the same load sent directly to engines and through a node. */
class LatencyMeasurement(private val shape: LoadShape) {
    /** Measures the direct path, then the path through a node. */
    fun run(): LatencyReport {
        val direct = LocalFleet(shape.fleet()).use { measure(it, it.engineTarget) }
        val node = LocalFleet(shape.fleet()).use { fleet ->
            fleet.startNodes().use { measure(fleet, it.target) }
        }
        return LatencyReport(
            streams = shape.streams,
            offeredTokensPerSecond = shape.tokensPerSecond,
            direct = direct,
            node = node,
            added = AddedMillis(
                p50 = node.transit.p50 - direct.transit.p50,
                p99 = node.transit.p99 - direct.transit.p99,
                max = node.transit.max - direct.transit.max,
            ),
        )
    }

    private fun measure(fleet: LocalFleet, target: CallerTarget): PathReport {
        val meter = Meter(shape.window)
        val totals = Caller().use { caller ->
            LoadRun(shape.arrivals(), target, caller, meter, fleet.writes).run(ANSWER_TIMEOUT)
        }
        meter.close()
        val transit = meter.quantiles(TrafficMeasure.TRANSIT)
        val span = (shape.window.endInclusive - shape.window.start).toDouble(DurationUnit.SECONDS)
        return PathReport(
            transit = transit,
            firstToken = meter.quantiles(TrafficMeasure.FIRST_TOKEN),
            interToken = meter.quantiles(TrafficMeasure.INTER_TOKEN),
            tokensPerSecond = transit.count / span,
            totals = totals,
        )
    }

    private companion object {
        val ANSWER_TIMEOUT = 60.seconds
    }
}
