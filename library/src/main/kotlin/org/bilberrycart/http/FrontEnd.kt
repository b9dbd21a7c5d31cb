package org.bilberrycart.http

import kotlin.time.Duration
import org.bilberrycart.model.EventId
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.Request
import org.bilberrycart.model.RequestId
import org.bilberrycart.release.CallerId
import org.bilberrycart.settings.FleetSettings

/**
 * The interface of the pipeline to a front end, independent of HTTP.
 *
 * All functions may be called from any thread. They block only while a ring is full.
 */
public interface FrontEnd {
    /** The configuration in force. */
    public val fleet: FleetSettings

    /** Returns the node's monotonic time. */
    public fun now(): Duration

    /** Returns a new id that is unique over all nodes and restarts. */
    public fun newRequestId(): RequestId

    /** Submits [request] of [caller]; the answer is delivered to the outbox of the caller. */
    public fun submit(request: Request, caller: CallerId)

    /**
     * Continues the answer of [request] for [caller] after the event [after], or from its start if
     * [after] is null.
     */
    public fun reconnect(
        request: RequestId,
        organisation: OrganisationId,
        caller: CallerId,
        after: EventId?,
    )

    /** Cancels the generation [request] if it belongs to [organisation]. */
    public fun cancel(request: RequestId, organisation: OrganisationId)

    /** Grants [caller] credit for [parts] more parts, as many as it took from its outbox. */
    public fun credit(request: RequestId, caller: CallerId, parts: Int)

    /** Reports that [caller] has disconnected from [request]. */
    public fun disconnect(request: RequestId, caller: CallerId)
}
