package org.bilberrycart.http

import kotlin.time.Duration
import org.bilberrycart.model.EventId
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.Request
import org.bilberrycart.model.RequestId
import org.bilberrycart.release.CallerId
import org.bilberrycart.settings.FleetSettings

/**
 * What a front end needs of the pipeline; nothing here knows HTTP.
 *
 * All functions may be called from any thread. They wait at most for a ring.
 */
public interface FrontEnd {
    /** The configuration in force. */
    public val fleet: FleetSettings

    /** Returns the node's monotonic time. */
    public fun now(): Duration

    /** Returns a new id, unique over all nodes and restarts. */
    public fun newRequestId(): RequestId

    /** Sends [request] of [caller] into the pipeline; its answer comes to the caller's outbox. */
    public fun submit(request: Request, caller: CallerId)

    /** Continues the answer of [request] for [caller] after the position [after]. */
    public fun reconnect(
        request: RequestId,
        organisation: OrganisationId,
        caller: CallerId,
        after: EventId?,
    )

    /** Stops the generation [request] if it belongs to [organisation]. */
    public fun cancel(request: RequestId, organisation: OrganisationId)

    /** Tells that [caller] took [parts] parts from its outbox. */
    public fun credit(request: RequestId, caller: CallerId, parts: Int)

    /** Tells that [caller] went away. */
    public fun disconnect(request: RequestId, caller: CallerId)
}
