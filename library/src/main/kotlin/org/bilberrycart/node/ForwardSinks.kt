package org.bilberrycart.node

import org.bilberrycart.admission.AdmissionAction
import org.bilberrycart.admission.AdmissionEvent
import org.bilberrycart.dispatch.DispatchEvent
import org.bilberrycart.health.HealthAction
import org.bilberrycart.idempotency.IdempotencyAction
import org.bilberrycart.idempotency.IdempotencyEvent
import org.bilberrycart.idempotency.IdempotencyStore
import org.bilberrycart.journal.JournalEvent
import org.bilberrycart.metrics.MetricsEvent
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.Placement
import org.bilberrycart.model.Request
import org.bilberrycart.model.ResultCode
import org.bilberrycart.model.ServiceCall
import org.bilberrycart.model.Upstream
import org.bilberrycart.news.GossipEvent
import org.bilberrycart.news.OrganisationUsage
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.pipeline.Sink
import org.bilberrycart.release.ReleaseEvent
import org.bilberrycart.routing.RoutingAction
import org.bilberrycart.routing.RoutingEvent
import org.bilberrycart.settings.FleetSettings
import org.bilberrycart.store.PlatformEvent
import org.bilberrycart.suspect.SuspectAction
import org.bilberrycart.suspect.SuspectEvent

/**
 * The sinks of the filters on the path of requests from callers to upstreams.
 *
 * Each function turns the actions of one filter into events in the rings of the next filters.
 */
internal class ForwardSinks(
    private val rings: NodeRings,
    private val loadRequests: Sink<Upstream>,
    private val store: Sink<PlatformEvent.Call>,
    private val clock: Clock,
    private val observer: NodeObserver,
    private val fleet: () -> FleetSettings,
) {
    private val idempotencyStore = IdempotencyStore()

    fun admission(action: AdmissionAction) {
        when (action) {
            is AdmissionAction.Admit -> admit(action.request)
            is AdmissionAction.ReportUsage -> reportUsage(action)
            is AdmissionAction.Refuse -> {
                observer.count(MetricsEvent.Refused(action.code))
                val end = AnswerPart.Failed(action.code, retryAfter = action.retryAfter)
                rings.release.of(action.request).put(ReleaseEvent.Ended(action.request, end))
            }
        }
    }

    private fun reportUsage(action: AdmissionAction.ReportUsage) {
        val uses = action.usage.map { (organisation, usage) ->
            OrganisationUsage(
                organisation = organisation,
                requestsPerSecond = usage.requestsPerSecond.toFloat(),
                running = usage.concurrent,
                tokensPerMinute = usage.tokensPerMinute.toLong(),
            )
        }
        if (uses.isNotEmpty()) rings.news.offer(GossipEvent.UsageMeasured(uses))
    }

    private fun admit(request: Request) {
        observer.count(
            MetricsEvent.Admitted(
                request = request.id,
                organisation = request.organisation,
                requestClass = request.requestClass,
                arrivedAt = request.arrivedAt,
            ),
        )
        when (request) {
            is GenerationRequest -> {
                val policy = fleet().generationPolicy(request.service)
                rings.journal.of(request.id).put(JournalEvent.Opened(request, policy))
                val first = AttemptId(request.id, epoch = 1, number = 1)
                rings.suspect.put(SuspectEvent.Place(Placement(first, request)))
            }
            is ServiceCall -> rings.idempotency.put(IdempotencyEvent.Arrived(request))
        }
    }

    fun idempotency(action: IdempotencyAction) {
        when (action) {
            is IdempotencyAction.Store -> store.accept(idempotencyStore.toCall(action))
            is IdempotencyAction.Place -> rings.suspect.put(SuspectEvent.Place(action.placement))
            is IdempotencyAction.Cancel ->
                rings.dispatch.put(DispatchEvent.Cancel(action.attempt))
            is IdempotencyAction.Deliver -> {
                val code = (action.part as? AnswerPart.Failed)?.code
                observer.count(MetricsEvent.Ended(action.request, code, clock.now()))
                rings.release.of(action.request)
                    .put(ReleaseEvent.Ended(action.request, action.part))
            }
        }
    }

    fun suspect(action: SuspectAction) {
        when (action) {
            is SuspectAction.Place -> rings.routing.put(RoutingEvent.Place(action.placement))
            is SuspectAction.Refuse -> unplaceable(action.attempt, action.request, action.code)
            is SuspectAction.Gossip -> rings.news.put(GossipEvent.EngineLost(action.fingerprint))
        }
    }

    fun routing(action: RoutingAction) {
        when (action) {
            is RoutingAction.Dispatch -> {
                rings.admission.put(AdmissionEvent.Started(action.placement.request.id))
                rings.dispatch.put(DispatchEvent.Start(action.placement, action.upstream))
            }
            is RoutingAction.Unplaceable -> {
                rings.suspect.put(SuspectEvent.NotPlaced(action.attempt))
                unplaceable(action.attempt, action.request, action.code)
            }
            is RoutingAction.AnnounceClosed -> Unit
            is RoutingAction.ReportCapacity -> rings.admission.put(
                AdmissionEvent.CapacityChanged(action.service, action.slots, action.usedByOthers),
            )
        }
    }

    private fun unplaceable(attempt: AttemptId, request: Request, code: ResultCode) {
        when (request) {
            is GenerationRequest ->
                rings.journal.of(request.id).put(JournalEvent.Unplaceable(attempt, code))
            is ServiceCall -> rings.idempotency.put(IdempotencyEvent.Unplaceable(attempt, code))
        }
    }

    fun health(action: HealthAction) {
        when (action) {
            is HealthAction.Poll -> loadRequests.accept(action.upstream)
            is HealthAction.ReportLoad ->
                rings.routing.offer(RoutingEvent.LoadReported(action.upstream, action.load))
            is HealthAction.Leaving -> {
                rings.dispatch.put(DispatchEvent.Leaving(action.upstream))
                rings.suspect.put(SuspectEvent.Leaving(action.upstream))
                rings.news.put(GossipEvent.UpstreamLeaving(action.upstream, action.incarnation))
                rings.routing.put(RoutingEvent.UpstreamLeaving(action.upstream, action.incarnation))
            }
            is HealthAction.Returned -> {
                rings.dispatch.put(DispatchEvent.Returned(action.upstream))
                rings.suspect.put(SuspectEvent.Returned(action.upstream))
            }
        }
    }
}
