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
 * @property lease the lease of this node; null while it has none.
 * @property progress what is known to be in the table; null while unknown.
 * @property engines what the upstreams last said of themselves.
 * @property orders orders sent and not yet answered.
 * @property supersededBy the highest fencing number that an upstream refused an order for.
 * @property loads the node's use of the weight store, whose rate all loads share.
 */
public data class OrdersState(
    val timing: OrdersTiming = OrdersTiming(),
    val need: NeedPolicy = NeedPolicy(),
    val lease: HeldLease? = null,
    val upstreams: PersistentMap<UpstreamId, Upstream> = persistentMapOf(),
    val plans: PersistentMap<String, MaintenancePlan> = persistentMapOf(),
    val progress: StoredProgress? = null,
    val isStoring: Boolean = false,
    val engines: PersistentMap<UpstreamId, EngineView> = persistentMapOf(),
    val orders: PersistentMap<UpstreamId, SentOrder> = persistentMapOf(),
    val supersededBy: Long = 0,
    val loads: StoreRateLimiter = StoreRateLimiter(LOADS_PER_SECOND, burst = 1.0),
) {
    private companion object {
        const val LOADS_PER_SECOND = 0.4
    }
}

/** A held lease; orders go out from [since] (or later) until [validUntil]. */
public data class HeldLease(val fencing: Long, val since: Duration, val validUntil: Duration)

/**
 * An upstream as this node knows it.
 *
 * @property observed what it said; null if it does not answer.
 * @property readAt when that came.
 * @property askedAt when it was last asked; null if no question is open.
 */
public data class EngineView(
    val observed: ObservedEngine? = null,
    val readAt: Duration = Duration.ZERO,
    val askedAt: Duration? = null,
)

/** An [order] sent at [sentAt]. */
public data class SentOrder(val order: EngineOrder, val sentAt: Duration)

/**
 * The timing of orders.
 *
 * @property timeout how long an order may take; longer ones count as failed.
 * @property settle how long a new holder waits before it orders an upstream that ignores fencing
 *   numbers, so that orders of the last holder have arrived.
 * @property poll the time between two questions to an upstream.
 */
public data class OrdersTiming(
    val timeout: Duration = 3.seconds,
    val settle: Duration = 5.seconds,
    val poll: Duration = 2.seconds,
)

/**
 * What a service needs while upstreams drain.
 *
 * @property upstreams upstreams that must stay.
 * @property headroom the share of the remaining slots that must stay free.
 */
public data class NeedPolicy(val upstreams: Int = 1, val headroom: Double = 0.2) {
    /** Whether [service] has enough left if only [left] of its upstreams serve it. */
    internal fun isMet(
        service: ServiceId,
        left: List<Upstream>,
        views: Map<UpstreamId, EngineView>,
        all: Collection<Upstream>,
    ): Boolean {
        val running = all.filter { service in it.services }
            .sumOf { views[it.id]?.observed?.running ?: 0 }
        return left.size >= upstreams && left.sumOf { it.slots } * (1 - headroom) >= running
    }
}
