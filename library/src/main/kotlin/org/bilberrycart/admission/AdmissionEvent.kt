package org.bilberrycart.admission

import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.Request
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ServiceId

/** An input of the admission duty. */
public sealed class AdmissionEvent {
    /** [request] arrived from a caller. */
    public data class Arrived(val request: Request) : AdmissionEvent()

    /** The first attempt of [request] was dispatched to an upstream. */
    public data class Started(val request: RequestId) : AdmissionEvent()

    /** The answer to [request] ended, completely or not, after [tokens] tokens. */
    public data class Ended(val request: RequestId, val tokens: Int = 0) : AdmissionEvent()

    /** A configuration came into force; organisations without an entry have the default limits. */
    public data class Configured(val limits: Map<OrganisationId, OrganisationLimits>) :
        AdmissionEvent()

    /**
     * The capacity of the upstreams of [service] changed.
     *
     * @property slots the number of slots of the upstreams that accept new work.
     * @property usedByOthers the load that other nodes put on these upstreams, in slots.
     */
    public data class CapacityChanged(
        val service: ServiceId,
        val slots: Int,
        val usedByOthers: Int,
    ) : AdmissionEvent()

    /** The other nodes together spend [usage] on [organisation]. */
    public data class PeerUsageReported(val organisation: OrganisationId, val usage: Usage) :
        AdmissionEvent()

    /** The number of live nodes, this one included, is [count]. */
    public data class NodesChanged(val count: Int) : AdmissionEvent()

    /** The node shuts down and accepts no new work. */
    public data object Drain : AdmissionEvent()

    /** The periodic tick of the timer. */
    public data object Tick : AdmissionEvent()
}
