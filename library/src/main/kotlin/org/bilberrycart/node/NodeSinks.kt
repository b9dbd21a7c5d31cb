package org.bilberrycart.node

import org.bilberrycart.admission.AdmissionAction
import org.bilberrycart.admission.AdmissionEvent
import org.bilberrycart.dispatch.DispatchEvent
import org.bilberrycart.health.HealthAction
import org.bilberrycart.health.LoadClient
import org.bilberrycart.http.Callers
import org.bilberrycart.idempotency.IdempotencyAction
import org.bilberrycart.idempotency.IdempotencyContext
import org.bilberrycart.idempotency.IdempotencyEvent
import org.bilberrycart.idempotency.IdempotencyStore
import org.bilberrycart.journal.JournalAction
import org.bilberrycart.journal.JournalEvent
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.Placement
import org.bilberrycart.model.Request
import org.bilberrycart.model.ResultCode
import org.bilberrycart.model.ServiceCall
import org.bilberrycart.platform.StoreContext
import org.bilberrycart.platform.StoreResult
import org.bilberrycart.release.ReleaseAction
import org.bilberrycart.release.ReleaseEvent
import org.bilberrycart.replication.ReplicationAction
import org.bilberrycart.replication.ReplicationEvent
import org.bilberrycart.routing.RoutingAction
import org.bilberrycart.routing.RoutingEvent
import org.bilberrycart.settings.FleetSettings

/** Carries the actions of each filter into the ring of the next one. */
internal class NodeSinks(
    private val rings: NodeRings,
    private val callers: Callers,
    private val loads: LoadClient,
    private val observer: NodeObserver,
    private val fleet: () -> FleetSettings,
) {
    private val store = IdempotencyStore()

    fun admission(action: AdmissionAction) {
        when (action) {
            is AdmissionAction.Admit -> admit(action.request)
            is AdmissionAction.Refuse -> {
                val end = AnswerPart.Failed(action.code, retryAfter = action.retryAfter)
                rings.release.of(action.request).put(ReleaseEvent.Ended(action.request, end))
            }
        }
    }

    private fun admit(request: Request) {
        when (request) {
            is GenerationRequest -> {
                val policy = fleet().generationPolicy(request.service)
                rings.journal.of(request.id).put(JournalEvent.Opened(request, policy))
                val first = AttemptId(request.id, epoch = 1, number = 1)
                rings.routing.put(RoutingEvent.Place(Placement(first, request)))
            }
            is ServiceCall -> rings.idempotency.put(IdempotencyEvent.Arrived(request))
        }
    }

    fun idempotency(action: IdempotencyAction) {
        when (action) {
            is IdempotencyAction.Store -> rings.platform.put(store.toCall(action))
            is IdempotencyAction.Place -> rings.routing.put(RoutingEvent.Place(action.placement))
            is IdempotencyAction.Cancel ->
                rings.dispatch.put(DispatchEvent.Cancel(action.attempt))
            is IdempotencyAction.Deliver -> rings.release.of(action.request)
                .put(ReleaseEvent.Ended(action.request, action.part))
        }
    }

    fun platformResult(context: StoreContext, result: StoreResult) {
        when (context) {
            is IdempotencyContext -> rings.idempotency.put(store.toEvent(context, result))
        }
    }

    fun health(action: HealthAction) {
        when (action) {
            is HealthAction.Poll -> loads.poll(action.upstream)
            is HealthAction.Report ->
                rings.routing.offer(RoutingEvent.LoadReported(action.upstream, action.load))
            is HealthAction.Leaving -> {
                rings.dispatch.put(DispatchEvent.Leaving(action.upstream))
                rings.routing.put(RoutingEvent.Leaving(action.upstream, action.incarnation))
            }
            is HealthAction.Returned -> rings.dispatch.put(DispatchEvent.Returned(action.upstream))
        }
    }

    fun routing(action: RoutingAction) {
        when (action) {
            is RoutingAction.Dispatch -> {
                rings.admission.put(AdmissionEvent.Started(action.placement.request.id))
                rings.dispatch.put(DispatchEvent.Start(action.placement, action.upstream))
            }
            is RoutingAction.Unplaceable -> unplaceable(action)
            is RoutingAction.ReportCapacity -> rings.admission.put(
                AdmissionEvent.CapacityChanged(action.service, action.slots, action.others),
            )
        }
    }

    private fun unplaceable(action: RoutingAction.Unplaceable) {
        when (action.request) {
            is GenerationRequest -> rings.journal.of(action.request.id)
                .put(JournalEvent.Unplaceable(action.attempt, action.code))
            is ServiceCall -> rings.idempotency.put(
                IdempotencyEvent.Unplaceable(action.attempt, action.code),
            )
        }
    }

    fun journal(action: JournalAction) {
        when (action) {
            is JournalAction.Begin -> rings.replication.of(action.generation.id)
                .put(ReplicationEvent.Began(action.generation, action.epoch))
            is JournalAction.Append -> rings.replication.of(action.request)
                .putBulk(ReplicationEvent.Appended(action.request, action.epoch, action.token))
            is JournalAction.Complete -> rings.replication.of(action.request)
                .put(ReplicationEvent.Completed(action.request, action.epoch, action.end))
            is JournalAction.Resume -> rings.routing.put(RoutingEvent.Place(action.placement))
            is JournalAction.Withdraw -> rings.routing.put(RoutingEvent.Withdraw(action.attempt))
            is JournalAction.CancelAttempt ->
                rings.dispatch.put(DispatchEvent.Cancel(action.attempt))
            is JournalAction.Probe -> rings.dispatch.put(DispatchEvent.Probe(action.attempt))
            is JournalAction.Reattach ->
                rings.dispatch.put(DispatchEvent.Reattach(action.attempt, action.from))
            is JournalAction.ReportOutcome -> rings.routing.put(
                RoutingEvent.AttemptEnded(action.attempt, action.upstream, action.outcome),
            )
            is JournalAction.CountStray,
            is JournalAction.CountLoss,
            is JournalAction.CountResume,
            -> observer.journal(action)
        }
    }

    fun replication(action: ReplicationAction) {
        when (action) {
            is ReplicationAction.Release -> rings.release.of(action.request)
                .putBulk(ReleaseEvent.Released(action.request, action.epoch, action.tokens))
            is ReplicationAction.ReleaseEnd -> rings.release.of(action.request)
                .put(ReleaseEvent.Ended(action.request, action.end))
            is ReplicationAction.Send,
            is ReplicationAction.Answer,
            is ReplicationAction.Decide,
            is ReplicationAction.Disown,
            is ReplicationAction.Adopted,
            -> error("a node without peers cannot carry out $action")
        }
    }

    fun release(action: ReleaseAction) {
        when (action) {
            is ReleaseAction.Deliver -> callers.deliver(action.caller, action.part)
            is ReleaseAction.Over ->
                rings.admission.put(AdmissionEvent.Ended(action.request, action.tokens))
            is ReleaseAction.Abandon -> rings.journal.of(action.request)
                .put(JournalEvent.Stop(action.request, action.code))
            is ReleaseAction.Locate -> rings.release.of(action.request).put(
                ReleaseEvent.Refused(action.request, action.caller, ResultCode.NOT_FOUND),
            )
        }
    }
}
