package org.bilberrycart.gateway.node

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.gateway.discovery.DiscoveryState
import org.bilberrycart.gateway.discovery.StoreTable
import org.bilberrycart.gateway.metrics.GatewayMetrics
import org.bilberrycart.gateway.origins.OriginsAction
import org.bilberrycart.gateway.origins.OriginsEvent
import org.bilberrycart.gateway.origins.OriginsFilter
import org.bilberrycart.gateway.origins.OriginsState
import org.bilberrycart.gateway.placement.PlacementEvent
import org.bilberrycart.gateway.placement.PlacementState
import org.bilberrycart.gateway.records.RecordReply
import org.bilberrycart.gateway.records.RecordStore
import org.bilberrycart.gateway.records.RecordTable.STREAMS
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.timer.Ticker

/**
 * Runs the duty that knows at which software version streams began.
 *
 * @property placementState returns what placement knows of the other nodes.
 * @property discoveryState returns how current the list of upstreams is.
 */
internal class StreamOrigins(
    settings: GatewaySettings,
    private val rings: GatewayRings,
    duties: DutyFactory,
    private val records: RecordStore,
    private val metrics: GatewayMetrics,
    private val log: StoreLog,
    private val clock: Clock,
    private val placementState: () -> PlacementState,
    private val discoveryState: () -> DiscoveryState,
) : AutoCloseable {
    private val duty = duties.duty(
        rings.origins,
        OriginsState(process = "${settings.node}/${System.currentTimeMillis()}"),
        OriginsFilter(),
        ::execute,
    )
    private val idlePeriods = IdlePeriods(IDLE_TICKS)

    /** The target of the node's ticker that drives the duty. */
    val tickTarget: Ticker.Target<OriginsEvent> =
        Ticker.Target(rings.origins, isDue = idlePeriods.orWhen(::isBusy)) {
            OriginsEvent.Tick(discoveryState().peers, isInStep())
        }

    /** Starts the duty. */
    fun start() {
        duty.start()
        rings.origins.put(OriginsEvent.Start)
    }

    /** Ends the duty. */
    override fun close() {
        duty.close()
    }

    /** Returns whether all known nodes were heard lately and none knows of a further change. */
    private fun isInStep(): Boolean {
        val state = placementState()
        val isHeard = state.share.peers.size + 1 >= (state.nodeCount ?: 1)
        val silence = state.oldestPeerSeenAt?.let { clock.now() - it } ?: Duration.ZERO
        val isCurrent = discoveryState().feeds.getValue(StoreTable.UPSTREAMS).peerLead == null
        return isHeard && silence < MAX_SILENCE && isCurrent
    }

    private fun isBusy(): Boolean =
        duty.snapshot.let { it.wasRecording || !it.hasRead || it.seekers.isNotEmpty() }

    private fun execute(action: OriginsAction) {
        when (action) {
            is OriginsAction.Read -> records.readRecords(STREAMS, action.from) { reply ->
                noteFailure("read", reply)
                rings.origins.put(OriginsEvent.ReadReplied(action.call, reply))
            }
            is OriginsAction.Write ->
                records.writeRecords(STREAMS, action.puts, action.removals) { reply ->
                    noteFailure("write", reply)
                    rings.origins.put(OriginsEvent.WriteReplied(action.call, reply))
                }
            is OriginsAction.Found -> found(action)
            is OriginsAction.RecordingChanged -> log.recordingChanged(action)
            is OriginsAction.BeginOnlyAt -> {
                log.versionsLimited(action)
                rings.placement.put(
                    PlacementEvent.VersionsLimited(action.versions, action.recordedUntil),
                )
            }
        }
    }

    private fun found(action: OriginsAction.Found) {
        log.originFound(action)
        val outcome = if (action.origin == null) "origin_unknown" else "origin_found"
        metrics.statusChanged("stream", outcome)
        rings.placement.put(PlacementEvent.OriginFound(action.call, action.origin))
    }

    private fun noteFailure(call: String, reply: RecordReply): Unit = when (reply) {
        is RecordReply.Failed -> log.recordCallFailed(STREAMS, call, reply.cause)
        is RecordReply.Page, is RecordReply.Written -> Unit
    }

    private companion object {
        /** Without anything to do, one tick in this many. */
        const val IDLE_TICKS = 16

        /** Peers that are heard are heard more often. */
        val MAX_SILENCE = 1.seconds
    }
}
