package org.bilberrycart.admission

import kotlin.math.sqrt
import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ServiceId
import org.bilberrycart.pipeline.invariant

/**
 * The state of the admission duty.
 *
 * @property isDraining whether the node shuts down and accepts no new work.
 * @property nodeCount the number of live nodes, this one included.
 * @property requests the admitted requests whose answers have not ended.
 * @property activeWeight the sum of the weights of the organisations that have work on any node.
 * @property usageReportedAt when the usage was last reported to the other nodes.
 */
public data class AdmissionState(
    val settings: AdmissionSettings = AdmissionSettings(),
    val isDraining: Boolean = false,
    val nodeCount: Int = 1,
    val requests: PersistentMap<RequestId, AdmittedRequest> = persistentHashMapOf(),
    val organisations: PersistentMap<OrganisationId, OrganisationState> = persistentHashMapOf(),
    val services: PersistentMap<ServiceId, ServiceLoad> = persistentHashMapOf(),
    val activeWeight: Int = 0,
    val usageReportedAt: Duration = Duration.ZERO,
) {
    /** Returns the state of the organisation [id], or a default one if it is unknown. */
    public fun organisation(id: OrganisationId): OrganisationState =
        organisations[id] ?: DEFAULT_ORGANISATION

    /** Returns the load of the service [id], which is empty if the service is unknown. */
    public fun service(id: ServiceId): ServiceLoad = services[id] ?: NO_LOAD

    /** Returns the usage on this node of each organisation that has work here. */
    public fun usage(now: Duration): Map<OrganisationId, Usage> = organisations
        .filterValues { it.inFlightByService.isNotEmpty() }
        .mapValues { it.value.usage(now) }

    /** Checks that the counts derived from the admitted requests agree with them. */
    public fun checkCounts() {
        val concurrent = organisations.values.sumOf { it.concurrent }
        val inFlight = services.values.sumOf { it.inFlight.values.sum() }
        val weight = organisations.values.filter { it.isActive }.sumOf { it.limits.weight }
        invariant("admission_counts", concurrent == requests.size && inFlight == requests.size) {
            "${requests.size} requests, but $concurrent by organisation and $inFlight by service"
        }
        invariant("admission_weight", weight == activeWeight) {
            "the active weight is $weight, but $activeWeight is kept"
        }
    }

    /**
     * Returns how many requests to [service] this node may take for [id] while slots are scarce.
     *
     * The result is the weighted share of the slots, plus a tolerance for random variation of the
     * arrivals that shrinks as the slots fill up. The only organisation with work has no limit. One
     * that offers far more work than its share gets no tolerance and only a part of its share, so
     * that the others have headroom.
     */
    internal fun fairShare(id: OrganisationId, service: ServiceId, now: Duration): Double {
        val organisation = organisation(id)
        val total = activeWeight + if (organisation.isActive) 0 else organisation.limits.weight
        if (total == organisation.limits.weight) return Double.POSITIVE_INFINITY
        val slots = service(service).slots.toDouble()
        val share = slots * organisation.limits.weight / total
        val free = (1 - service(service).load / maxOf(1.0, slots)).coerceAtLeast(0.0)
        val tolerance =
            TOLERANCE_FACTOR * sqrt(share) * minOf(1.0, free / (1 - settings.borrowLimit))
        val offered = organisation.offeredRate.at(now) + organisation.peerUsage.offered
        val isOverloading = offered > OVERLOAD_FACTOR * share
        val allowed = if (isOverloading) share * settings.borrowLimit else share + tolerance
        return nodeShare(allowed, nodeCount, organisation.peerUsage.concurrent.toDouble())
    }

    /** Returns this state with the organisation [id] in the state [next]. */
    internal fun withOrganisation(id: OrganisationId, next: OrganisationState): AdmissionState {
        val previous = organisation(id)
        return copy(
            organisations = organisations.put(id, next),
            activeWeight = activeWeight - activeWeightOf(previous) + activeWeightOf(next),
        )
    }

    private fun activeWeightOf(organisation: OrganisationState): Int =
        if (organisation.isActive) organisation.limits.weight else 0

    private companion object {
        /** The tolerance as a multiple of the square root of the share. */
        const val TOLERANCE_FACTOR = 2.0

        /** The ratio of offered work to the fair share above which the share is cut. */
        const val OVERLOAD_FACTOR = 1.5
        val DEFAULT_ORGANISATION = OrganisationState()
        val NO_LOAD = ServiceLoad()
    }
}
