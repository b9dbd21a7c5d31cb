package org.bilberrycart.orders

import kotlin.time.Duration
import org.bilberrycart.model.Upstream

/** What the orders duty asks for. */
public sealed class OrdersAction {
    /** Ask [upstream] how it is. */
    public data class ReadState(val upstream: Upstream) : OrdersAction()

    /** Give [order] to [upstream] with the fencing number of the lease, before [validUntil]. */
    public data class Send(
        val upstream: Upstream,
        val order: EngineOrder,
        val fencing: Long,
        val validUntil: Duration,
        val timeout: Duration,
    ) : OrdersAction()

    /** Read the progress from the table. */
    public data object ReadProgress : OrdersAction()

    /** Write [progress] if its row has the version [expected]; 0 if there must be no row. */
    public data class WriteProgress(val progress: OrdersProgress, val expected: Long) :
        OrdersAction()

    /** An upstream has seen the higher fencing number [highest]: another node has the lease. */
    public data class Superseded(val highest: Long) : OrdersAction()
}
