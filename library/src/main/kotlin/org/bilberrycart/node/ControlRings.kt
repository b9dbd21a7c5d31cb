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
 * Each user of the store has a bounded number of store calls outstanding: one or two for the lease,
 * the configuration and the orders, and one for each call of the idempotency duty. The platform
 * ring has room for all of them, so that no user waits for it while the platform duty waits for
 * the ring of a user.
 *
 * @property callLimit the largest number of calls that the idempotency duty holds.
 */
public class ControlRings(callLimit: Int) {
    /** Calls to the store, and what comes back. */
    public val platform: Ring<PlatformEvent> = Ring("platform", callLimit * 2 + SPARE)

    /** What concerns the configuration in force. */
    public val configuration: Ring<ConfigurationEvent> = Ring("configuration", SPARE)

    /** What concerns the lease. */
    public val lease: Ring<LeaseEvent> = Ring("lease", SPARE)

    /** What concerns orders to upstreams. */
    public val orders: Ring<OrdersEvent> = Ring("orders", ORDERS)

    private val all: List<Ring<*>> = listOf(platform, configuration, lease, orders)

    /** Returns the counters of all rings. */
    public fun stats(): List<RingStats> = all.map { it.stats() }

    private companion object {
        const val SPARE = 1_024
        const val ORDERS = 8_192
    }
}
