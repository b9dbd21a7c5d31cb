package org.bilberrycart.admission

import kotlin.math.ceil
import kotlin.math.roundToInt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import org.bilberrycart.model.Request
import org.bilberrycart.model.ResultCode
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.invariant
import org.bilberrycart.pipeline.withActions

/**
 * Decides at the door who gets in: by limits, by fair shares and by the wait that it predicts.
 *
 * Each [AdmissionEvent.Arrived] gives exactly one action. An admitted request counts until its
 * [AdmissionEvent.Ended]; the end of a request that is not admitted is ignored.
 */
public class AdmissionFilter : Filter<AdmissionState, AdmissionEvent, AdmissionAction> {
    override fun step(
        state: AdmissionState,
        event: AdmissionEvent,
        now: Duration,
    ): Step<AdmissionState, AdmissionAction> = when (event) {
        is AdmissionEvent.Arrived -> arrived(state, event.request, now)
        is AdmissionEvent.Started -> Step(started(state, event, now))
        is AdmissionEvent.Ended -> Step(ended(state, event, now))
        is AdmissionEvent.Configured -> Step(configured(state, event))
        is AdmissionEvent.CapacityChanged -> Step(capacityChanged(state, event))
        is AdmissionEvent.UsageHeard -> Step(usageHeard(state, event))
        is AdmissionEvent.NodesChanged -> Step(state.copy(nodes = maxOf(1, event.count)))
        AdmissionEvent.Drain -> Step(state.copy(isDraining = true))
        AdmissionEvent.Tick -> reportUse(state, now)
    }

    private fun reportUse(
        state: AdmissionState,
        now: Duration,
    ): Step<AdmissionState, AdmissionAction> {
        if (now - state.reportedAt < USE_REPORT_PERIOD) return Step(state)
        return state.copy(reportedAt = now)
            .withActions(AdmissionAction.ReportUse(state.usage(now)))
    }

    private fun arrived(
        state: AdmissionState,
        request: Request,
        now: Duration,
    ): Step<AdmissionState, AdmissionAction> {
        invariant("admission_once", request.id !in state.requests) {
            "${request.id} is admitted already"
        }
        val work = state.service(request.service).durationOf(request.requestClass)
        val held = state.organisation(request.organisation)
            .refilled(state.nodes, now)
            .offered(work, now)
        val next = state.with(request.organisation, held)
        val refusal = next.refusalOf(request, held, now)
        return if (refusal == null) admit(next, request, held, now) else next.withActions(refusal)
    }

    private fun admit(
        state: AdmissionState,
        request: Request,
        held: OrganisationState,
        now: Duration,
    ): Step<AdmissionState, AdmissionAction> {
        val admitted =
            AdmittedRequest(request.organisation, request.service, request.requestClass, now)
        val isGeneration = request.requestClass.isGeneration
        val load = state.service(request.service).admitted(request.requestClass)
        return state
            .copy(
                requests = state.requests.put(request.id, admitted),
                services = state.services.put(request.service, load),
            )
            .with(request.organisation, held.admitted(request.service, isGeneration, now))
            .withActions(AdmissionAction.Admit(request))
    }

    private fun started(
        state: AdmissionState,
        event: AdmissionEvent.Started,
        now: Duration,
    ): AdmissionState {
        val held = state.requests[event.request] ?: return state
        val started = held.copy(startedAt = now)
        return state.copy(requests = state.requests.put(event.request, started))
    }

    private fun ended(
        state: AdmissionState,
        event: AdmissionEvent.Ended,
        now: Duration,
    ): AdmissionState {
        val held = state.requests[event.request] ?: return state
        val load = state.service(held.service).ended(held.requestClass, now - held.startedAt)
        val organisation = state.organisation(held.organisation)
        return state
            .copy(
                requests = state.requests.remove(event.request),
                services = state.services.put(held.service, load),
            )
            .with(held.organisation, organisation.ended(held, event.tokens, now))
    }

    private fun configured(
        state: AdmissionState,
        event: AdmissionEvent.Configured,
    ): AdmissionState {
        val ids = state.organisations.keys + event.limits.keys
        return ids.fold(state) { next, id ->
            val limits = event.limits[id] ?: OrganisationLimits()
            next.with(id, next.organisation(id).copy(limits = limits))
        }
    }

    private fun capacityChanged(
        state: AdmissionState,
        event: AdmissionEvent.CapacityChanged,
    ): AdmissionState {
        val load = state.service(event.service).copy(slots = event.slots, others = event.others)
        return state.copy(services = state.services.put(event.service, load))
    }

    private fun usageHeard(
        state: AdmissionState,
        event: AdmissionEvent.UsageHeard,
    ): AdmissionState {
        val held = state.organisation(event.organisation)
        return state.with(event.organisation, held.copy(heard = event.use))
    }
}

private fun AdmissionState.refusalOf(
    request: Request,
    held: OrganisationState,
    now: Duration,
): AdmissionAction.Refuse? = when {
    isDraining -> refusal(request, ResultCode.DRAINING, MIN_RETRY)
    request.deadline <= now -> refusal(request, ResultCode.DEADLINE_PASSED)
    else -> limitRefusal(request, held) ?: shareRefusal(request, now) ?: waitRefusal(request, now)
}

private fun AdmissionState.limitRefusal(
    request: Request,
    held: OrganisationState,
): AdmissionAction.Refuse? {
    val isGeneration = request.requestClass.isGeneration
    val requests = held.requests?.waitFor(1.0, held.requestShare(nodes)) ?: Duration.ZERO
    val tokens = held.tokens?.waitFor(1.0, held.tokenShare(nodes)) ?: Duration.ZERO
    return when {
        requests > Duration.ZERO -> refusal(request, ResultCode.LIMIT_REACHED, requests)

        !isGeneration -> null

        tokens > Duration.ZERO -> refusal(request, ResultCode.LIMIT_REACHED, tokens)

        held.generations + 1 > held.generationShare(nodes) ->
            refusal(request, ResultCode.LIMIT_REACHED, MIN_RETRY)

        else -> null
    }
}

private fun AdmissionState.shareRefusal(request: Request, now: Duration): AdmissionAction.Refuse? {
    val load = service(request.service)
    val used = organisation(request.organisation).inService[request.service] ?: 0
    val mayBorrow = load.load + 1 <= load.slots * settings.borrowLimit
    val share = fairShare(request.organisation, request.service, now).roundToInt()
    val isOver = used + 1 > share
    if (!load.isKnown || mayBorrow || !isOver) return null
    val wait = load.durationOf(request.requestClass) / maxOf(1, used)
    return refusal(request, ResultCode.LIMIT_REACHED, wait)
}

private fun AdmissionState.waitRefusal(request: Request, now: Duration): AdmissionAction.Refuse? {
    val load = service(request.service)
    if (!load.isKnown) return null
    val wait = load.predictedWait(request.requestClass, nodes, settings.shortReserve)
    val end = now + wait + load.durationOf(request.requestClass)
    val isLate = wait > settings.waitOf(request.requestClass) || end > request.deadline
    return if (wait > Duration.ZERO && isLate) {
        refusal(request, ResultCode.OVERLOADED, wait)
    } else {
        null
    }
}

private fun refusal(
    request: Request,
    code: ResultCode,
    wait: Duration? = null,
): AdmissionAction.Refuse {
    val retryAfter = wait?.let {
        ceil(it.coerceIn(MIN_RETRY, MAX_RETRY).toDouble(DurationUnit.SECONDS)).seconds
    }
    return AdmissionAction.Refuse(request.id, code, retryAfter)
}

private val USE_REPORT_PERIOD = 1.seconds
private val MIN_RETRY = 1.seconds
private val MAX_RETRY = 60.seconds
