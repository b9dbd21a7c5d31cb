package org.bilberrycart.orders

import kotlin.time.Duration
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then
import org.bilberrycart.pipeline.withActions

internal typealias OrdersStep = Step<OrdersState, OrdersAction>

/**
 * Decides which orders go to upstreams while this node holds the lease.
 *
 * Orders are idempotent statements of the wanted state, derived from the plans, the progress in the
 * store and the state that each upstream reports. A new holder reads all of these before it sends
 * an order. The lease is checked by the node's own clock before each order, so that a holder that
 * was paused stops by itself.
 */
public class OrdersFilter : Filter<OrdersState, OrdersEvent, OrdersAction> {
    override fun step(state: OrdersState, event: OrdersEvent, now: Duration): OrdersStep =
        when (event) {
            is OrdersEvent.LeaseHeld -> state.leaseHeld(event, now)
            OrdersEvent.LeaseLost -> Step(state.copy(lease = null, progress = null))
            is OrdersEvent.Configured ->
                Step(state.copy(upstreams = event.upstreams, plans = event.plans))
            is OrdersEvent.StateRead ->
                Step(state.withObserved(event.upstream, event.observed, now))
            is OrdersEvent.StateReadFailed ->
                Step(state.withObserved(event.upstream, observed = null, now))
            is OrdersEvent.OrderDone -> Step(state.withoutOrder(event.upstream))
            is OrdersEvent.OrderFailed -> Step(state.withoutOrder(event.upstream))
            is OrdersEvent.OrderRefused -> state.refused(event)
            is OrdersEvent.ProgressRead ->
                Step(state.copy(progress = event.stored, isAwaitingStore = false))
            OrdersEvent.ProgressFailed -> Step(state.copy(progress = null, isAwaitingStore = false))
            OrdersEvent.Tick -> Step(state)
        }.then { it.proceed(now) }

    private fun OrdersState.leaseHeld(event: OrdersEvent.LeaseHeld, now: Duration): OrdersStep =
        when {
            event.fencing < supersededBy -> Step(this)
            lease?.fencing == event.fencing ->
                Step(copy(lease = lease.copy(validUntil = event.validUntil)))
            else -> Step(
                copy(
                    lease = HeldLease(event.fencing, since = now, validUntil = event.validUntil),
                    progress = null,
                    isAwaitingStore = false,
                ),
            )
        }

    private fun OrdersState.refused(event: OrdersEvent.OrderRefused): OrdersStep {
        val next = withoutOrder(event.upstream)
        val isSuperseded = event.highest > (lease?.fencing ?: 0)
        if (!isSuperseded) return Step(next)
        return next.copy(lease = null, supersededBy = event.highest)
            .withActions(OrdersAction.Superseded(event.highest))
    }

    /** Takes in a reported state, dated at the time of the request rather than of the answer. */
    private fun OrdersState.withObserved(
        upstream: UpstreamId,
        observed: ObservedEngine?,
        now: Duration,
    ): OrdersState {
        val readAt = engines[upstream]?.requestedAt ?: now
        return copy(engines = engines.put(upstream, EngineView(observed, readAt)))
    }

    /** Forgets the order to [upstream] and its state, which must be read again after an order. */
    private fun OrdersState.withoutOrder(upstream: UpstreamId): OrdersState =
        copy(pendingOrders = pendingOrders.remove(upstream), engines = engines.remove(upstream))

    private fun OrdersState.proceed(now: Duration): OrdersStep {
        val held = lease ?: return Step(this)
        return when {
            now >= held.validUntil -> Step(copy(lease = null, progress = null))
            progress == null && isAwaitingStore -> Step(this)
            progress == null ->
                copy(isAwaitingStore = true).withActions(OrdersAction.ReadProgress)
            else -> dropTimedOutOrders(now).requestDueStates(now)
                .then { it.sendDueOrders(held, now) }
        }
    }

    private fun OrdersState.dropTimedOutOrders(now: Duration): OrdersState =
        pendingOrders.filterValues { now - it.sentAt >= timing.orderTimeout * 2 }.keys
            .fold(this) { state, upstream -> state.withoutOrder(upstream) }
}
