package org.bilberrycart.orders

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import org.bilberrycart.model.Upstream
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.settings.MaintenancePlan

/** An event that the orders duty handles. */
public sealed class OrdersEvent {
    /** This node holds the lease of [fencing] until [validUntil] by its own clock. */
    public data class LeaseHeld(val fencing: Long, val validUntil: Duration) : OrdersEvent()

    /** This node no longer holds the lease. */
    public data object LeaseLost : OrdersEvent()

    /** The configuration in force declares [upstreams] and [plans]. */
    public data class Configured(
        val upstreams: PersistentMap<UpstreamId, Upstream>,
        val plans: PersistentMap<String, MaintenancePlan>,
    ) : OrdersEvent()

    /** [upstream] reported its state. */
    public data class StateRead(val upstream: UpstreamId, val observed: ObservedEngine) :
        OrdersEvent()

    /** The state of [upstream] could not be read. */
    public data class StateReadFailed(val upstream: UpstreamId) : OrdersEvent()

    /** [upstream] carried the order out. */
    public data class OrderDone(val upstream: UpstreamId) : OrdersEvent()

    /** [upstream] refused the order, since it has seen the fencing number [highest]. */
    public data class OrderRefused(val upstream: UpstreamId, val highest: Long) : OrdersEvent()

    /** The order to [upstream] failed; it may have been carried out or not. */
    public data class OrderFailed(val upstream: UpstreamId) : OrdersEvent()

    /** The store has the progress [stored]. */
    public data class ProgressRead(val stored: StoredProgress) : OrdersEvent()

    /** A store call for the progress failed, or a write found another version. */
    public data object ProgressFailed : OrdersEvent()

    /** A periodic signal to send the orders and requests that are due. */
    public data object Tick : OrdersEvent()
}
