package org.bilberrycart.gateway.node

import org.bilberrycart.gateway.discovery.DiscoveryState
import org.bilberrycart.gateway.metrics.GatewayMetrics
import org.bilberrycart.gateway.placement.PlacementState
import org.bilberrycart.gateway.records.RecordStore
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.timer.Ticker

/** Runs the duties that keep records of this node in the store. */
internal class NodeRecords(
    settings: GatewaySettings,
    rings: GatewayRings,
    duties: DutyFactory,
    records: RecordStore,
    metrics: GatewayMetrics,
    log: StoreLog,
    clock: Clock,
    placementState: () -> PlacementState,
    discoveryState: () -> DiscoveryState,
) : AutoCloseable {
    private val origins = StreamOrigins(
        settings,
        rings,
        duties,
        records,
        metrics,
        log,
        clock,
        placementState,
        discoveryState,
    )
    private val crashes =
        CrashRecords(settings, rings, duties, records, log, clock, placementState)

    /** The targets of the node's ticker that drive the duties. */
    val tickTargets: List<Ticker.Target<*>> = listOf(origins.tickTarget, crashes.tickTarget)

    /** Starts the duties and reads the records. */
    fun start() {
        origins.start()
        crashes.start()
    }

    /** Ends the duties. */
    override fun close() {
        origins.close()
        crashes.close()
    }
}
