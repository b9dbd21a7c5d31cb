package org.bilberrycart.gateway.node

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentSet
import org.bilberrycart.gateway.http.OpenExchanges
import org.bilberrycart.gateway.metrics.GatewayMetrics
import org.bilberrycart.gateway.model.CallKey
import org.bilberrycart.gateway.placement.PlacementEvent
import org.bilberrycart.gateway.placement.PlacementState
import org.bilberrycart.gateway.relay.RelayEvent
import org.bilberrycart.gateway.watch.ExchangeWatchAction
import org.bilberrycart.gateway.watch.ExchangeWatchEvent
import org.bilberrycart.gateway.watch.ExchangeWatchFilter
import org.bilberrycart.gateway.watch.ExchangeWatchState
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.pipeline.Ring
import org.bilberrycart.timer.Ticker

/** Runs the duty that answers calls which no other duty owns any more. */
internal class ExchangeWatch(
    private val rings: GatewayRings,
    private val exchanges: OpenExchanges,
    duties: DutyFactory,
    private val metrics: GatewayMetrics,
    private val log: DecisionLog,
    private val clock: Clock,
    private val placementState: () -> PlacementState,
) : AutoCloseable {
    private val ring = Ring<ExchangeWatchEvent>("exchange_watch", RING_CAPACITY)
    private val duty =
        duties.duty(ring, ExchangeWatchState(), ExchangeWatchFilter(), ::execute)

    /** Whether an exchange was open at the last look, so that one more look is due. */
    private val hasOpen: Boolean
        get() = !exchanges.isEmpty || duty.snapshot.unownedSince.isNotEmpty()
    private val isTime = IdlePeriods(TICKS_PER_LOOK).orWhen { false }

    /** The target of the node's ticker that drives the looks. */
    val tickTarget: Ticker.Target<ExchangeWatchEvent> =
        Ticker.Target(ring, isDue = { isTime() && hasOpen }, ::look)

    /** Starts the duty. */
    fun start() {
        duty.start()
    }

    /** Ends the duty. */
    override fun close() {
        duty.close()
    }

    /** Reads the open calls before their owners, so that a new call is not without an owner. */
    private fun look(): ExchangeWatchEvent {
        val open = exchanges.openKeys().toPersistentSet()
        return ExchangeWatchEvent.Looked(open, owned(clock.now()).toPersistentSet())
    }

    /** Returns the calls that placement holds, but not those that it should have ended. */
    private fun owned(now: Duration): Collection<CallKey> = placementState().calls
        .filterValues { now < it.call.deadline + OVERDUE }.keys

    private fun execute(action: ExchangeWatchAction): Unit = when (action) {
        is ExchangeWatchAction.EndUnowned -> {
            action.calls.forEach(::end)
            log.unownedCallsEnded(action)
        }
    }

    private fun end(key: CallKey) {
        val outcome = exchanges.endUnowned(key) ?: return
        metrics.unownedCallEnded(outcome)
        rings.placement.put(PlacementEvent.CallerGone(key))
        rings.relay.put(RelayEvent.Stop(key, isAborted = false))
    }

    private companion object {
        const val RING_CAPACITY = 16

        /** Half a second between two looks. */
        const val TICKS_PER_LOOK = 25
        val OVERDUE = 1.seconds
    }
}
