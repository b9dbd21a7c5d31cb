package org.bilberrycart.orders

import kotlin.time.Duration
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.model.Upstream
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then
import org.bilberrycart.pipeline.withActions
import org.bilberrycart.settings.MaintenancePlan

/** Requests the state of each upstream whose state is due, while there is work to do. */
internal fun OrdersState.requestDueStates(now: Duration): OrdersStep {
    val due = if (hasWork()) upstreams.values.filter { isStateDue(it.id, now) } else emptyList()
    val requested = due.fold(engines) { views, upstream ->
        views.put(upstream.id, (views[upstream.id] ?: EngineView()).copy(requestedAt = now))
    }
    return Step(
        copy(engines = requested),
        due.map { OrdersAction.ReadState(it) }.toPersistentList(),
    )
}

private fun OrdersState.hasWork(): Boolean =
    plans.isNotEmpty() || progress?.progress?.drained.orEmpty().isNotEmpty()

private fun OrdersState.isStateDue(upstream: UpstreamId, now: Duration): Boolean {
    val view = engines[upstream] ?: return true
    val lastRequestAt = view.requestedAt ?: view.readAt
    val wait = if (view.requestedAt == null) timing.pollInterval else timing.orderTimeout * 2
    return now - lastRequestAt >= wait
}

/** Sends the orders that are due, one at a time to each upstream. */
internal fun OrdersState.sendDueOrders(held: HeldLease, now: Duration): OrdersStep =
    upstreams.values.sortedBy { it.id.value }
        .fold(OrdersStep(this)) { step, upstream ->
            step.then { it.sendDueOrder(upstream, held, now) }
        }

private fun OrdersState.sendDueOrder(
    upstream: Upstream,
    held: HeldLease,
    now: Duration,
): OrdersStep {
    val view = engines[upstream.id]
    val observed = view?.observed
    return when {
        observed == null || upstream.id in pendingOrders -> Step(this)
        view.readAt < earliestOrderTime(upstream, held) -> Step(this)
        else -> drainAsPlanned(upstream, observed, held, now)
            ?: loadAsPlanned(upstream, observed, held, now)
            ?: Step(this)
    }
}

/**
 * Returns when [upstream] may get its first order under the lease: an upstream that ignores fencing
 * numbers gets none until orders of the last holder have arrived.
 */
private fun OrdersState.earliestOrderTime(upstream: Upstream, held: HeldLease): Duration = when {
    upstream.checksFencing -> held.since
    else -> held.since + timing.handoverDelay
}

private fun OrdersState.drainAsPlanned(
    upstream: Upstream,
    observed: ObservedEngine,
    held: HeldLease,
    now: Duration,
): OrdersStep? {
    val isDrainPlanned = drainPlanOf(upstream) != null
    val isRecorded = drainedIncarnation(upstream.id) == observed.incarnation
    return when {
        isDrainPlanned && observed.isDraining -> null
        isDrainPlanned && isRecorded -> send(
            upstream,
            EngineOrder.Drain(isDraining = true),
            held,
            now,
        )
        isDrainPlanned && mayDrain(upstream) -> recordDrain(upstream.id, observed.incarnation)
        isDrainPlanned || drainedIncarnation(upstream.id) == null -> null
        isRecorded && observed.isDraining ->
            send(upstream, EngineOrder.Drain(isDraining = false), held, now)
        else -> recordDrain(upstream.id, incarnation = null)
    }
}

private fun OrdersState.loadAsPlanned(
    upstream: Upstream,
    observed: ObservedEngine,
    held: HeldLease,
    now: Duration,
): OrdersStep? {
    val plan = plans.values.filterIsInstance<MaintenancePlan.Load>()
        .firstOrNull { upstream.id in it.upstreams && it.model !in observed.models }
    val isAtLimit = plan != null &&
        pendingOrders.count { (id, sent) ->
            id in plan.upstreams && sent.order == EngineOrder.Load(plan.model)
        } >= plan.atOnce
    val limiter = if (plan == null || isAtLimit) null else loadLimiter.take(now)
    return when {
        plan == null || limiter == null -> null
        else -> copy(loadLimiter = limiter).send(upstream, EngineOrder.Load(plan.model), held, now)
    }
}

private fun OrdersState.send(
    upstream: Upstream,
    order: EngineOrder,
    held: HeldLease,
    now: Duration,
): OrdersStep =
    copy(pendingOrders = pendingOrders.put(upstream.id, SentOrder(order, now))).withActions(
        OrdersAction.Send(upstream, order, held.fencing, held.validUntil, timing.orderTimeout),
    )

/** Stores that [upstream] is ordered to drain in [incarnation], or no longer is if it is null. */
private fun OrdersState.recordDrain(upstream: UpstreamId, incarnation: Long?): OrdersStep? {
    val stored = progress
    if (stored == null || isAwaitingStore) return null
    val drained = stored.progress.drained
    val next = when (incarnation) {
        null -> drained - upstream.value
        else -> drained + (upstream.value to incarnation)
    }
    return copy(isAwaitingStore = true)
        .withActions(OrdersAction.WriteProgress(OrdersProgress(next), stored.version))
}

private fun OrdersState.drainedIncarnation(upstream: UpstreamId): Long? =
    progress?.progress?.drained?.get(upstream.value)

private fun OrdersState.drainPlanOf(upstream: Upstream): MaintenancePlan.Drain? =
    plans.values.filterIsInstance<MaintenancePlan.Drain>().firstOrNull {
        upstream.id in it.upstreams || upstream.dataCentre in it.dataCentres
    }

/** Whether [upstream] may drain now, by the limit of its plan and by the [CapacityPolicy]. */
private fun OrdersState.mayDrain(upstream: Upstream): Boolean {
    val plan = drainPlanOf(upstream) ?: return false
    val draining = upstreams.values.count { drainPlanOf(it) == plan && isDrainInProgress(it) }
    return draining < plan.atOnce &&
        upstream.services.all { service ->
            val remaining = upstreams.values.filter {
                service in it.services && it.id != upstream.id && isServing(it)
            }
            capacityPolicy.isSatisfied(service, remaining, engines, upstreams.values)
        }
}

private fun OrdersState.isDrainInProgress(upstream: Upstream): Boolean {
    val observed = engines[upstream.id]?.observed
    val isDrainOrdered = drainedIncarnation(upstream.id) != null
    return isDrainOrdered && (observed == null || !observed.isDraining || observed.running > 0)
}

private fun OrdersState.isServing(upstream: Upstream): Boolean {
    val observed = engines[upstream.id]?.observed
    return observed != null && !observed.isDraining && drainedIncarnation(upstream.id) == null
}
