package org.bilberrycart.orders

import org.bilberrycart.pipeline.Clock
import org.bilberrycart.pipeline.Ring
import org.bilberrycart.pipeline.Sink
import org.bilberrycart.store.PlatformEvent

/**
 * Carries out the actions of the orders duty.
 *
 * The lease is checked again just before an order is sent, because the node may have been paused
 * after the decision.
 *
 * @property onSuperseded is called when an upstream has seen a higher fencing number.
 */
public class OrdersSink(
    private val client: OrderClient,
    private val clock: Clock,
    private val ring: Ring<OrdersEvent>,
    private val platform: Ring<PlatformEvent>,
    private val onSuperseded: (highest: Long) -> Unit = {},
) : Sink<OrdersAction> {
    override fun accept(action: OrdersAction) {
        when (action) {
            is OrdersAction.ReadState -> client.readState(action.upstream)
            is OrdersAction.Send -> send(action)
            is OrdersAction.Superseded -> onSuperseded(action.highest)
            OrdersAction.ReadProgress, is OrdersAction.WriteProgress ->
                OrdersStore.toCall(action, clock.now())?.let(platform::put)
        }
    }

    private fun send(action: OrdersAction.Send) {
        when {
            clock.now() < action.validUntil -> client.send(action)
            else -> ring.put(OrdersEvent.OrderFailed(action.upstream.id))
        }
    }
}
