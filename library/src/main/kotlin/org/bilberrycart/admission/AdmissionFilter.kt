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
 * Decides whether to admit each request, by limits, fair shares and the predicted wait for a slot.
 *
 * Each [AdmissionEvent.Arrived] leads to exactly one action. An admitted request is counted until
 * its [AdmissionEvent.Ended]; the end of a request that was not admitted is ignored.
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
        is AdmissionEvent.PeerUsageReported -> Step(peerUsageReported(state, event))
        is AdmissionEvent.NodesChanged -> Step(state.copy(nodeCount = maxOf(1, event.count)))
        AdmissionEvent.Drain -> Step(state.copy(isDraining = true))
        AdmissionEvent.Tick -> reportUsage(state, now)
    }

    private fun reportUsage(
        state: AdmissionState,
        now: Duration,
    ): Step<AdmissionState, AdmissionAction> {
        if (now - state.usageReportedAt < USAGE_REPORT_INTERVAL) return Step(state)
        return state.copy(usageReportedAt = now)
            .withActions(AdmissionAction.ReportUsage(state.usage(now)))
    }

    private fun arrived(
        state: AdmissionState,
        request: Request,
        now: Duration,
    ): Step<AdmissionState, AdmissionAction> {
        invariant("admission_once", request.id !in state.requests) {
            "${request.id} is admitted already"
        }
        val duration = state.service(request.service).durationOf(request.requestClass)
        val sender = state.organisation(request.organisation)
            .withRefilledBuckets(state.nodeCount, now)
            .withOfferedWork(duration, now)
        val next = state.withOrganisation(request.organisation, sender)
        val refusal = next.refusalOf(request, sender, now)
        return if (refusal == null) admit(next, request, sender, now) else next.withActions(refusal)
    }

    private fun admit(
        state: AdmissionState,
        request: Request,
        organisation: OrganisationState,
        now: Duration,
    ): Step<AdmissionState, AdmissionAction> {
        val admitted =
            AdmittedRequest(request.organisation, request.service, request.requestClass, now)
        val isGeneration = request.requestClass.isGeneration
        val load = state.service(request.service).withAdmitted(request.requestClass)
        return state
            .copy(
                requests = state.requests.put(request.id, admitted),
                services = state.services.put(request.service, load),
            )
            .withOrganisation(
                request.organisation,
                organisation.withAdmitted(request.service, isGeneration, now),
            )
            .withActions(AdmissionAction.Admit(request))
    }

    private fun started(
        state: AdmissionState,
        event: AdmissionEvent.Started,
        now: Duration,
    ): AdmissionState {
        val request = state.requests[event.request] ?: return state
        val started = request.copy(startedAt = now)
        return state.copy(requests = state.requests.put(event.request, started))
    }

    private fun ended(
        state: AdmissionState,
        event: AdmissionEvent.Ended,
        now: Duration,
    ): AdmissionState {
        val request = state.requests[event.request] ?: return state
        val load = state.service(request.service)
            .withEnded(request.requestClass, now - request.startedAt)
        val organisation = state.organisation(request.organisation)
        return state
            .copy(
                requests = state.requests.remove(event.request),
                services = state.services.put(request.service, load),
            )
            .withOrganisation(
                request.organisation,
                organisation.withEnded(request, event.tokens, now),
            )
    }

    private fun configured(
        state: AdmissionState,
        event: AdmissionEvent.Configured,
    ): AdmissionState {
        val ids = state.organisations.keys + event.limits.keys
        return ids.fold(state) { next, id ->
            val limits = event.limits[id] ?: OrganisationLimits()
            next.withOrganisation(id, next.organisation(id).copy(limits = limits))
        }
    }

    private fun capacityChanged(
        state: AdmissionState,
        event: AdmissionEvent.CapacityChanged,
    ): AdmissionState {
        val load = state.service(event.service)
            .copy(slots = event.slots, usedByOthers = event.usedByOthers)
        return state.copy(services = state.services.put(event.service, load))
    }

    private fun peerUsageReported(
        state: AdmissionState,
        event: AdmissionEvent.PeerUsageReported,
    ): AdmissionState {
        val organisation = state.organisation(event.organisation)
        return state
            .withOrganisation(event.organisation, organisation.copy(peerUsage = event.usage))
    }
}

private fun AdmissionState.refusalOf(
    request: Request,
    organisation: OrganisationState,
    now: Duration,
): AdmissionAction.Refuse? = when {
    isDraining -> refusal(request, ResultCode.DRAINING, MIN_RETRY_AFTER)
    request.deadline <= now -> refusal(request, ResultCode.DEADLINE_PASSED)
    else ->
        limitRefusal(request, organisation)
            ?: shareRefusal(request, now)
            ?: waitRefusal(request, now)
}

private fun AdmissionState.limitRefusal(
    request: Request,
    organisation: OrganisationState,
): AdmissionAction.Refuse? {
    val isGeneration = request.requestClass.isGeneration
    val requestWait = organisation.requestBucket
        ?.waitFor(1.0, organisation.requestShare(nodeCount)) ?: Duration.ZERO
    val tokenWait = organisation.tokenBucket
        ?.waitFor(1.0, organisation.tokenShare(nodeCount)) ?: Duration.ZERO
    return when {
        requestWait > Duration.ZERO -> refusal(request, ResultCode.LIMIT_REACHED, requestWait)

        !isGeneration -> null

        tokenWait > Duration.ZERO -> refusal(request, ResultCode.LIMIT_REACHED, tokenWait)

        organisation.generations + 1 > organisation.generationShare(nodeCount) ->
            refusal(request, ResultCode.LIMIT_REACHED, MIN_RETRY_AFTER)

        else -> null
    }
}

private fun AdmissionState.shareRefusal(request: Request, now: Duration): AdmissionAction.Refuse? {
    val load = service(request.service)
    val used = organisation(request.organisation).inFlightByService[request.service] ?: 0
    val mayBorrow = load.load + 1 <= load.slots * settings.borrowLimit
    val share = fairShare(request.organisation, request.service, now).roundToInt()
    val exceedsShare = used + 1 > share
    if (!load.isCapacityKnown || mayBorrow || !exceedsShare) return null
    val wait = load.durationOf(request.requestClass) / maxOf(1, used)
    return refusal(request, ResultCode.LIMIT_REACHED, wait)
}

private fun AdmissionState.waitRefusal(request: Request, now: Duration): AdmissionAction.Refuse? {
    val load = service(request.service)
    if (!load.isCapacityKnown) return null
    val wait = load.predictedWait(request.requestClass, nodeCount, settings.shortReserve)
    val end = now + wait + load.durationOf(request.requestClass)
    val isLate = wait > settings.maxWaitOf(request.requestClass) || end > request.deadline
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
        ceil(it.coerceIn(MIN_RETRY_AFTER, MAX_RETRY_AFTER).toDouble(DurationUnit.SECONDS)).seconds
    }
    return AdmissionAction.Refuse(request.id, code, retryAfter)
}

/** How often the usage of the organisations is reported to the other nodes. */
private val USAGE_REPORT_INTERVAL = 1.seconds

/** The shortest time after which a refused caller is told to try again. */
private val MIN_RETRY_AFTER = 1.seconds

/** The longest time after which a refused caller is told to try again. */
private val MAX_RETRY_AFTER = 60.seconds
