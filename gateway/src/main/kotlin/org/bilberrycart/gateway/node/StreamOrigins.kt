package org.bilberrycart.gateway.node

import org.bilberrycart.gateway.metrics.GatewayMetrics
import org.bilberrycart.gateway.origins.OriginsAction
import org.bilberrycart.gateway.origins.OriginsEvent
import org.bilberrycart.gateway.origins.OriginsFilter
import org.bilberrycart.gateway.origins.OriginsState
import org.bilberrycart.gateway.placement.PlacementEvent
import org.bilberrycart.gateway.records.RecordReply
import org.bilberrycart.gateway.records.RecordStore
import org.bilberrycart.gateway.records.RecordTable.STREAMS
import org.bilberrycart.timer.Ticker

/**
 * Runs the duty that knows at which software version streams began.
 *
 * @property peers returns the number of other nodes.
 */
internal class StreamOrigins(
    settings: GatewaySettings,
    private val rings: GatewayRings,
    duties: DutyFactory,
    private val records: RecordStore,
    private val metrics: GatewayMetrics,
    private val log: DecisionLog,
    private val peers: () -> Int,
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
            OriginsEvent.Tick(peers())
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
    }
}
