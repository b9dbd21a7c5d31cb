package org.bilberrycart.gateway.node

import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.bilberrycart.gateway.crashes.CrashRecordsAction
import org.bilberrycart.gateway.crashes.CrashRecordsEvent
import org.bilberrycart.gateway.crashes.CrashRecordsFilter
import org.bilberrycart.gateway.crashes.CrashRecordsState
import org.bilberrycart.gateway.model.CallFingerprint
import org.bilberrycart.gateway.model.KnownCrashes
import org.bilberrycart.gateway.placement.PlacementEvent
import org.bilberrycart.gateway.placement.PlacementState
import org.bilberrycart.gateway.records.RecordReply
import org.bilberrycart.gateway.records.RecordStore
import org.bilberrycart.gateway.records.RecordTable.CRASHES
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.timer.Ticker

/** Runs the duty that keeps what is known of crashing calls in the store. */
internal class CrashRecords(
    settings: GatewaySettings,
    private val rings: GatewayRings,
    duties: DutyFactory,
    private val records: RecordStore,
    private val log: StoreLog,
    private val clock: Clock,
    private val placementState: () -> PlacementState,
) : AutoCloseable {
    private val duty = duties.duty(
        rings.crashes,
        CrashRecordsState(process = "${settings.node}/${System.currentTimeMillis()}"),
        CrashRecordsFilter(),
        ::execute,
    )

    /** The target of the node's ticker that drives the duty. */
    val tickTarget: Ticker.Target<CrashRecordsEvent> =
        Ticker.Target(rings.crashes, isDue = IdlePeriods(TICKS).orWhen { false }, ::tick)

    /** Starts the duty and reads the records. */
    fun start() {
        duty.start()
        rings.crashes.put(tick())
    }

    /** Ends the duty. */
    override fun close() = duty.close()

    private fun tick(): CrashRecordsEvent {
        val state = placementState()
        return CrashRecordsEvent.Tick(
            known = known(state),
            isPeerMissing = state.share.peers.size + 1 < (state.nodeCount ?: 1),
        )
    }

    private fun known(state: PlacementState): KnownCrashes {
        val now = clock.now()
        val parts = state.parts.toReport(now)
        return KnownCrashes(
            calls = state.crashes.toRecord(now).entries.associate { (content, crashes) ->
                content.value to crashes.map(CrashNames::nameOf).toSet()
            },
            parts = parts.copy(answerAges = emptyMap()),
        )
    }

    private fun execute(action: CrashRecordsAction) {
        when (action) {
            is CrashRecordsAction.Read -> records.readRecords(CRASHES, action.from) { reply ->
                noteFailure("read", reply)
                rings.crashes.put(CrashRecordsEvent.ReadReplied(action.call, reply))
            }
            is CrashRecordsAction.Write ->
                records.writeRecords(CRASHES, listOf(action.record), action.removals) { reply ->
                    noteFailure("write", reply)
                    rings.crashes.put(CrashRecordsEvent.WriteReplied(action.call, reply))
                }
            is CrashRecordsAction.Found -> {
                log.crashesRecalled(action)
                rings.placement.put(recalled(action))
            }
        }
    }

    private fun recalled(action: CrashRecordsAction.Found): PlacementEvent.CrashesRecalled {
        val crashes = action.known.flatMap { it.calls.entries }.groupBy({ it.key }, { it.value })
        return PlacementEvent.CrashesRecalled(
            crashes = crashes.entries.associate { (content, names) ->
                CallFingerprint(content) to names.flatten().map(CrashNames::crashOf).toSet()
            }.toPersistentMap(),
            partReports = action.known.map { it.parts }.filterNot { it.isEmpty }.toPersistentList(),
        )
    }

    private fun noteFailure(call: String, reply: RecordReply): Unit = when (reply) {
        is RecordReply.Failed -> log.recordCallFailed(CRASHES, call, reply.cause)
        is RecordReply.Page, is RecordReply.Written -> Unit
    }

    private companion object {
        /** One tick of the node in this many. */
        const val TICKS = 5
    }
}
