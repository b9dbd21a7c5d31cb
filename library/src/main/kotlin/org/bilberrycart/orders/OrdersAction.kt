package org.bilberrycart.orders

import kotlin.time.Duration
import org.bilberrycart.model.Upstream

/** An action that the orders duty requests. */
public sealed class OrdersAction {
    /** Request the state of [upstream]. */
    public data class ReadState(val upstream: Upstream) : OrdersAction()

    /**
     * Send [order] to [upstream].
     *
     * @property fencing the fencing number of the lease.
     * @property validUntil the time after which the order must not be sent, because the lease ends.
     * @property timeout how long the upstream may take to carry the order out.
     */
    public data class Send(
        val upstream: Upstream,
        val order: EngineOrder,
        val fencing: Long,
        val validUntil: Duration,
        val timeout: Duration,
    ) : OrdersAction()

    /** Read the progress from the store. */
    public data object ReadProgress : OrdersAction()

    /** Write [progress] if its row has version [expected], or if there is no row when it is 0. */
    public data class WriteProgress(val progress: OrdersProgress, val expected: Long) :
        OrdersAction()

    /** Report that another node has the lease: an upstream has seen the higher number [highest]. */
    public data class Superseded(val highest: Long) : OrdersAction()
}
