package org.bilberrycart.orders

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.model.ServiceId
import org.bilberrycart.model.Upstream
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.settings.MaintenancePlan
import org.bilberrycart.store.StoreRateLimiter

/**
 * The state of the orders duty.
 *
 * @property lease the lease that this node holds; null while it holds none.
 * @property progress the progress in the store; null while it is not known.
 * @property isAwaitingStore whether a store call for the progress is in flight.
 * @property engines the last known state of each upstream.
 * @property pendingOrders the order to each upstream that was sent and not yet answered.
 * @property supersededBy the fencing number because of which an upstream refused an order; leases
 *   with a lower number are ignored.
 * @property loadLimiter limits how often models are loaded, since all loads share the rate of the
 *   weight store.
 */
public data class OrdersState(
    val timing: OrdersTiming = OrdersTiming(),
    val capacityPolicy: CapacityPolicy = CapacityPolicy(),
    val lease: HeldLease? = null,
    val upstreams: PersistentMap<UpstreamId, Upstream> = persistentMapOf(),
    val plans: PersistentMap<String, MaintenancePlan> = persistentMapOf(),
    val progress: StoredProgress? = null,
    val isAwaitingStore: Boolean = false,
    val engines: PersistentMap<UpstreamId, EngineView> = persistentMapOf(),
    val pendingOrders: PersistentMap<UpstreamId, SentOrder> = persistentMapOf(),
    val supersededBy: Long = 0,
    val loadLimiter: StoreRateLimiter = StoreRateLimiter(LOADS_PER_SECOND, burst = 1.0),
) {
    private companion object {
        const val LOADS_PER_SECOND = 0.4
    }
}

/** The lease that this node holds; orders may be sent from [since] until [validUntil]. */
public data class HeldLease(val fencing: Long, val since: Duration, val validUntil: Duration)

/**
 * The state of an upstream as this node knows it.
 *
 * @property observed the state that the upstream reported; null if it does not answer.
 * @property readAt when the state was requested, or read if no request is known.
 * @property requestedAt when the state was requested; null if no request is in flight.
 */
public data class EngineView(
    val observed: ObservedEngine? = null,
    val readAt: Duration = Duration.ZERO,
    val requestedAt: Duration? = null,
)

/** An [order] that was sent at [sentAt] and not yet answered. */
public data class SentOrder(val order: EngineOrder, val sentAt: Duration)

/**
 * The intervals and timeouts of orders.
 *
 * @property orderTimeout how long an upstream may take to carry out an order before it counts as
 *   failed.
 * @property handoverDelay how long a new holder waits before it sends an order to an upstream that
 *   ignores fencing numbers, so that orders of the last holder have arrived.
 * @property pollInterval the time between two reads of the state of an upstream.
 */
public data class OrdersTiming(
    val orderTimeout: Duration = 3.seconds,
    val handoverDelay: Duration = 5.seconds,
    val pollInterval: Duration = 2.seconds,
)

/**
 * The capacity that a service must keep while upstreams drain.
 *
 * @property minUpstreams how many upstreams must remain.
 * @property headroom the share of the remaining slots that must stay free, from 0 to 1.
 */
public data class CapacityPolicy(val minUpstreams: Int = 1, val headroom: Double = 0.2) {
    /** Whether [service] keeps enough capacity if only [remaining] of its upstreams serve it. */
    internal fun isSatisfied(
        service: ServiceId,
        remaining: List<Upstream>,
        views: Map<UpstreamId, EngineView>,
        all: Collection<Upstream>,
    ): Boolean {
        val running = all.filter { service in it.services }
            .sumOf { views[it.id]?.observed?.running ?: 0 }
        return remaining.size >= minUpstreams &&
            remaining.sumOf { it.slots } * (1 - headroom) >= running
    }
}
