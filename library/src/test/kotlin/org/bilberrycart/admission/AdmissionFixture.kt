package org.bilberrycart.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import org.bilberrycart.model.Fingerprint
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RepeatMode
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ServiceCall
import org.bilberrycart.model.ServiceId

internal val DRAFTS_SERVICE = ServiceId("drafts")

internal fun arrived(
    request: String,
    organisation: String = "club",
    requestClass: RequestClass = RequestClass.SHORT_QUESTION,
    deadline: Duration = 10.minutes,
): AdmissionEvent.Arrived = AdmissionEvent.Arrived(
    ServiceCall(
        id = RequestId(request),
        organisation = OrganisationId(organisation),
        service = DRAFTS_SERVICE,
        requestClass = requestClass,
        fingerprint = Fingerprint(request),
        arrivedAt = Duration.ZERO,
        deadline = deadline,
        operation = "op",
        body = "",
        repeatMode = RepeatMode.IDEMPOTENT,
    ),
)

internal fun over(request: String, tokens: Int = 0) =
    AdmissionEvent.Ended(RequestId(request), tokens)

internal fun capacity(slots: Int, usedByOthers: Int = 0) =
    AdmissionEvent.CapacityChanged(DRAFTS_SERVICE, slots, usedByOthers)

internal fun limits(vararg limits: Pair<String, OrganisationLimits>) =
    AdmissionEvent.Configured(limits.associate { (id, limit) -> OrganisationId(id) to limit })

internal fun peerUsage(organisation: String, usage: Usage) =
    AdmissionEvent.PeerUsageReported(OrganisationId(organisation), usage)

/** Returns the arrivals of the requests [from] to [to] of one organisation, named after it. */
internal fun arrivals(
    organisation: String,
    from: Int,
    to: Int,
    requestClass: RequestClass = RequestClass.LONG_DRAFT,
) = (from..to).map { arrived("$organisation$it", organisation, requestClass) }

/**
 * Runs the filter on events and returns its decisions as short texts.
 *
 * An admission is the id of the request, and a refusal is `request!CODE+retryAfter`.
 */
internal class AdmissionRun(settings: AdmissionSettings = AdmissionSettings(shortReserve = 0.1)) {
    private val filter = AdmissionFilter()
    var state = AdmissionState(settings)
        private set
    var now = Duration.ZERO

    fun step(event: AdmissionEvent): List<String> {
        val step = filter.step(state, event, now)
        state = step.state
        state.checkCounts()
        return step.actions.mapNotNull {
            when (it) {
                is AdmissionAction.ReportUsage -> null
                is AdmissionAction.Admit -> "${it.request.id}"
                is AdmissionAction.Refuse -> "${it.request}!${it.code}+${it.retryAfter}"
            }
        }
    }
}
