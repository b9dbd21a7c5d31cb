package org.bilberrycart.orders

import kotlin.time.Duration
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.model.Upstream
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then
import org.bilberrycart.pipeline.withActions
import org.bilberrycart.settings.MaintenancePlan

/** Asks each upstream that matters how it is, as often as the timing says. */
internal fun OrdersState.observe(now: Duration): OrdersStep {
    val due = if (hasWork()) upstreams.values.filter { isDue(it.id, now) } else emptyList()
    val asked = due.fold(engines) { views, upstream ->
        views.put(upstream.id, (views[upstream.id] ?: EngineView()).copy(askedAt = now))
    }
    return Step(
        copy(engines = asked),
        due.map { OrdersAction.ReadState(it) }.toPersistentList(),
    )
}

private fun OrdersState.hasWork(): Boolean =
    plans.isNotEmpty() || progress?.progress?.drained.orEmpty().isNotEmpty()

private fun OrdersState.isDue(upstream: UpstreamId, now: Duration): Boolean {
    val view = engines[upstream] ?: return true
    val last = view.askedAt ?: view.readAt
    val wait = if (view.askedAt == null) timing.poll else timing.timeout * 2
    return now - last >= wait
}

/** Gives the orders that are due, one at a time to each upstream. */
internal fun OrdersState.order(held: HeldLease, now: Duration): OrdersStep =
    upstreams.values.sortedBy { it.id.value }
        .fold(OrdersStep(this)) { step, upstream ->
            step.then { it.orderOne(upstream, held, now) }
        }

private fun OrdersState.orderOne(upstream: Upstream, held: HeldLease, now: Duration): OrdersStep {
    val view = engines[upstream.id]
    val observed = view?.observed
    return when {
        observed == null || upstream.id in orders -> Step(this)
        view.readAt < earliest(upstream, held) -> Step(this)
        else -> drainAsPlanned(upstream, observed, held, now)
            ?: loadAsPlanned(upstream, observed, held, now)
            ?: Step(this)
    }
}

/** An upstream that ignores fencing numbers is left alone until old orders have arrived. */
private fun OrdersState.earliest(upstream: Upstream, held: HeldLease): Duration = when {
    upstream.checksFencing -> held.since
    else -> held.since + timing.settle
}

private fun OrdersState.drainAsPlanned(
    upstream: Upstream,
    observed: ObservedEngine,
    held: HeldLease,
    now: Duration,
): OrdersStep? {
    val isWanted = drainPlanOf(upstream) != null
    val isRecorded = drainedIncarnation(upstream.id) == observed.incarnation
    return when {
        isWanted && observed.isDraining -> null
        isWanted && isRecorded -> send(upstream, EngineOrder.Drain(isDraining = true), held, now)
        isWanted && mayDrain(upstream) -> record(upstream.id, observed.incarnation)
        isWanted || drainedIncarnation(upstream.id) == null -> null
        isRecorded && observed.isDraining ->
            send(upstream, EngineOrder.Drain(isDraining = false), held, now)
        else -> record(upstream.id, incarnation = null)
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
    val isLoading = plan != null &&
        orders.count { (id, sent) ->
            id in plan.upstreams && sent.order == EngineOrder.Load(plan.model)
        } >= plan.atOnce
    val bucket = if (plan == null || isLoading) null else loads.take(now)
    return when {
        plan == null || bucket == null -> null
        else -> copy(loads = bucket).send(upstream, EngineOrder.Load(plan.model), held, now)
    }
}

private fun OrdersState.send(
    upstream: Upstream,
    order: EngineOrder,
    held: HeldLease,
    now: Duration,
): OrdersStep = copy(orders = orders.put(upstream.id, SentOrder(order, now))).withActions(
    OrdersAction.Send(upstream, order, held.fencing, held.validUntil, timing.timeout),
)

/** Writes down that [upstream] was told to drain in [incarnation], or no longer is. */
private fun OrdersState.record(upstream: UpstreamId, incarnation: Long?): OrdersStep? {
    val stored = progress
    if (stored == null || isStoring) return null
    val drained = stored.progress.drained
    val next = when (incarnation) {
        null -> drained - upstream.value
        else -> drained + (upstream.value to incarnation)
    }
    return copy(isStoring = true)
        .withActions(OrdersAction.WriteProgress(OrdersProgress(next), stored.version))
}

private fun OrdersState.drainedIncarnation(upstream: UpstreamId): Long? =
    progress?.progress?.drained?.get(upstream.value)

private fun OrdersState.drainPlanOf(upstream: Upstream): MaintenancePlan.Drain? =
    plans.values.filterIsInstance<MaintenancePlan.Drain>().firstOrNull {
        upstream.id in it.upstreams || upstream.dataCentre in it.dataCentres
    }

/** Whether [upstream] may drain now: not too many at once, and each service keeps its need. */
private fun OrdersState.mayDrain(upstream: Upstream): Boolean {
    val plan = drainPlanOf(upstream) ?: return false
    val busy = upstreams.values.count { drainPlanOf(it) == plan && isBusyDraining(it) }
    return busy < plan.atOnce &&
        upstream.services.all { service ->
            val left = upstreams.values.filter {
                service in it.services && it.id != upstream.id && isServing(it)
            }
            need.isMet(service, left, engines, upstreams.values)
        }
}

private fun OrdersState.isBusyDraining(upstream: Upstream): Boolean {
    val observed = engines[upstream.id]?.observed
    val isTold = drainedIncarnation(upstream.id) != null
    return isTold && (observed == null || !observed.isDraining || observed.running > 0)
}

private fun OrdersState.isServing(upstream: Upstream): Boolean {
    val observed = engines[upstream.id]?.observed
    return observed != null && !observed.isDraining && drainedIncarnation(upstream.id) == null
}
