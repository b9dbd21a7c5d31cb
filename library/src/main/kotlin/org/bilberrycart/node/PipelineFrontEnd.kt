package org.bilberrycart.node

import java.util.UUID
import kotlin.time.Duration
import org.bilberrycart.admission.AdmissionEvent
import org.bilberrycart.http.FrontEnd
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.EventId
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.Request
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ResultCode
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.release.CallerId
import org.bilberrycart.release.ReleaseEvent
import org.bilberrycart.settings.FleetSettings

/** The front end of the pipeline: puts the requests of callers into the rings of its filters. */
internal class PipelineFrontEnd(
    private val rings: NodeRings,
    private val clock: Clock,
    private val currentFleet: () -> FleetSettings,
) : FrontEnd {
    override val fleet: FleetSettings
        get() = currentFleet()

    override fun now(): Duration = clock.now()

    override fun newRequestId(): RequestId = RequestId(UUID.randomUUID().toString())

    override fun submit(request: Request, caller: CallerId) {
        val release = rings.release.of(request.id)
        release.put(ReleaseEvent.Requested(request.id, request.organisation, caller))
        if (!rings.admission.offer(AdmissionEvent.Arrived(request))) {
            val full = AnswerPart.Failed(ResultCode.RING_FULL)
            release.put(ReleaseEvent.Ended(request.id, full))
        }
    }

    override fun reconnect(
        request: RequestId,
        organisation: OrganisationId,
        caller: CallerId,
        after: EventId?,
    ) {
        rings.release.of(request)
            .put(ReleaseEvent.Reconnected(request, organisation, caller, after))
    }

    override fun cancel(request: RequestId, organisation: OrganisationId) {
        rings.release.of(request).put(ReleaseEvent.CancelRequested(request, organisation))
    }

    override fun credit(request: RequestId, caller: CallerId, parts: Int) {
        rings.release.of(request).put(ReleaseEvent.CreditGranted(request, caller, parts))
    }

    override fun disconnect(request: RequestId, caller: CallerId) {
        rings.release.of(request).put(ReleaseEvent.Disconnected(request, caller))
    }
}
