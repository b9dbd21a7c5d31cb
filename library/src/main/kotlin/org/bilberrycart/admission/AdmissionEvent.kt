package org.bilberrycart.admission

import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.Request
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ServiceId

/** What the admission duty reacts to. */
public sealed class AdmissionEvent {
    /** A caller sent [request]. */
    public data class Arrived(val request: Request) : AdmissionEvent()

    /** The first attempt of [request] was sent to an upstream. */
    public data class Started(val request: RequestId) : AdmissionEvent()

    /** The answer of [request] is over, in whatever way, after [tokens] tokens. */
    public data class Ended(val request: RequestId, val tokens: Int = 0) : AdmissionEvent()

    /** The limits of the configuration in force; others have the defaults. */
    public data class Configured(val limits: Map<OrganisationId, OrganisationLimits>) :
        AdmissionEvent()

    /**
     * What the upstreams of [service] can run.
     *
     * @property slots the slots of the upstreams that take new work.
     * @property others how many of them other nodes use.
     */
    public data class CapacityChanged(val service: ServiceId, val slots: Int, val others: Int) :
        AdmissionEvent()

    /** [use] is what the other nodes together spend on [organisation]. */
    public data class UsageHeard(val organisation: OrganisationId, val use: Usage) :
        AdmissionEvent()

    /** [count] nodes are live, this one included. */
    public data class NodesChanged(val count: Int) : AdmissionEvent()

    /** The node leaves: no new work. */
    public data object Drain : AdmissionEvent()

    /** Time has passed. */
    public data object Tick : AdmissionEvent()
}
