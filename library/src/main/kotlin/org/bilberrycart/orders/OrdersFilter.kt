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
 * table and what each upstream says of itself; a new holder reads all of these before it orders
 * anything. The lease is checked by the node's own clock before each order, so that a holder that
 * was paused stops by itself.
 */
public class OrdersFilter : Filter<OrdersState, OrdersEvent, OrdersAction> {
    override fun step(state: OrdersState, event: OrdersEvent, now: Duration): OrdersStep =
        when (event) {
            is OrdersEvent.LeaseHeld -> state.held(event, now)
            OrdersEvent.LeaseLost -> Step(state.copy(lease = null, progress = null))
            is OrdersEvent.Configured ->
                Step(state.copy(upstreams = event.upstreams, plans = event.plans))
            is OrdersEvent.StateRead ->
                Step(state.view(event.upstream, event.observed, now))
            is OrdersEvent.StateFailed ->
                Step(state.view(event.upstream, observed = null, now))
            is OrdersEvent.OrderDone -> Step(state.answered(event.upstream))
            is OrdersEvent.OrderFailed -> Step(state.answered(event.upstream))
            is OrdersEvent.OrderRefused -> state.refused(event)
            is OrdersEvent.ProgressRead ->
                Step(state.copy(progress = event.stored, isStoring = false))
            OrdersEvent.ProgressFailed -> Step(state.copy(progress = null, isStoring = false))
            OrdersEvent.Tick -> Step(state)
        }.then { it.control(now) }

    private fun OrdersState.held(event: OrdersEvent.LeaseHeld, now: Duration): OrdersStep = when {
        event.fencing < supersededBy -> Step(this)
        lease?.fencing == event.fencing ->
            Step(copy(lease = lease.copy(validUntil = event.validUntil)))
        else -> Step(
            copy(
                lease = HeldLease(event.fencing, since = now, validUntil = event.validUntil),
                progress = null,
                isStoring = false,
            ),
        )
    }

    private fun OrdersState.refused(event: OrdersEvent.OrderRefused): OrdersStep {
        val next = answered(event.upstream)
        val isOld = event.highest > (lease?.fencing ?: 0)
        if (!isOld) return Step(next)
        return next.copy(lease = null, supersededBy = event.highest)
            .withActions(OrdersAction.Superseded(event.highest))
    }

    /** What an upstream says counts from when it was asked, not from when the answer came. */
    private fun OrdersState.view(
        upstream: UpstreamId,
        observed: ObservedEngine?,
        now: Duration,
    ): OrdersState {
        val readAt = engines[upstream]?.askedAt ?: now
        return copy(engines = engines.put(upstream, EngineView(observed, readAt)))
    }

    /** After an order the upstream is asked anew; what it said before no longer counts. */
    private fun OrdersState.answered(upstream: UpstreamId): OrdersState =
        copy(orders = orders.remove(upstream), engines = engines.remove(upstream))

    private fun OrdersState.control(now: Duration): OrdersStep {
        val held = lease ?: return Step(this)
        return when {
            now >= held.validUntil -> Step(copy(lease = null, progress = null))
            progress == null && isStoring -> Step(this)
            progress == null ->
                copy(isStoring = true).withActions(OrdersAction.ReadProgress)
            else -> dropLateOrders(now).observe(now).then { it.order(held, now) }
        }
    }

    private fun OrdersState.dropLateOrders(now: Duration): OrdersState =
        orders.filterValues { now - it.sentAt >= timing.timeout * 2 }.keys
            .fold(this) { state, upstream -> state.answered(upstream) }
}
