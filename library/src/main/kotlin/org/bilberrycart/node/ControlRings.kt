package org.bilberrycart.node

import org.bilberrycart.configuration.ConfigurationEvent
import org.bilberrycart.lease.LeaseEvent
import org.bilberrycart.orders.OrdersEvent
import org.bilberrycart.pipeline.Ring
import org.bilberrycart.pipeline.RingStats
import org.bilberrycart.store.PlatformEvent

/**
 * The rings of the control duties.
 *
 * Each duty that uses the store has a bounded number of store calls outstanding: one or two for the
 * lease, the configuration and the orders, and one for each call of the idempotency duty. The
 * platform ring has capacity for all of them. Otherwise such a duty could wait for the platform
 * ring while the platform duty waits for the ring of that duty, a deadlock.
 *
 * @property callLimit the largest number of calls that the idempotency duty holds.
 */
public class ControlRings(callLimit: Int) {
    /** The calls to the store and their results. */
    public val platform: Ring<PlatformEvent> = Ring("platform", callLimit * 2 + BASE_CAPACITY)

    /** The events of the configuration duty. */
    public val configuration: Ring<ConfigurationEvent> = Ring("configuration", BASE_CAPACITY)

    /** The events of the lease duty. */
    public val lease: Ring<LeaseEvent> = Ring("lease", BASE_CAPACITY)

    /** The events of the orders duty. */
    public val orders: Ring<OrdersEvent> = Ring("orders", ORDERS_CAPACITY)

    private val all: List<Ring<*>> = listOf(platform, configuration, lease, orders)

    /** Returns the counters of all rings. */
    public fun stats(): List<RingStats> = all.map { it.stats() }

    private companion object {
        const val BASE_CAPACITY = 1_024
        const val ORDERS_CAPACITY = 8_192
    }
}
