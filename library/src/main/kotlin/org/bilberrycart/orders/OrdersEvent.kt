package org.bilberrycart.orders

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import org.bilberrycart.model.Upstream
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.settings.MaintenancePlan

/** What the orders duty reacts to. */
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

    /** [upstream] says that it is as [observed]. */
    public data class StateRead(val upstream: UpstreamId, val observed: ObservedEngine) :
        OrdersEvent()

    /** [upstream] does not say how it is. */
    public data class StateFailed(val upstream: UpstreamId) : OrdersEvent()

    /** [upstream] carried the order out. */
    public data class OrderDone(val upstream: UpstreamId) : OrdersEvent()

    /** [upstream] refused the order, since it has seen the fencing number [highest]. */
    public data class OrderRefused(val upstream: UpstreamId, val highest: Long) : OrdersEvent()

    /** Nothing is known of the order to [upstream]. */
    public data class OrderFailed(val upstream: UpstreamId) : OrdersEvent()

    /** The table has [stored]. */
    public data class ProgressRead(val stored: StoredProgress) : OrdersEvent()

    /** The store call for the progress brought nothing certain. */
    public data object ProgressFailed : OrdersEvent()

    /** Time has passed. */
    public data object Tick : OrdersEvent()
}
