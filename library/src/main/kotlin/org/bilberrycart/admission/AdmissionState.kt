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
 * All that admission knows.
 *
 * @property isDraining whether the node takes no new work.
 * @property nodes the number of live nodes, this one included.
 * @property requests the admitted requests that are not over.
 * @property activeWeight the sum of the weights of the organisations that have work.
 * @property reportedAt when the use was last reported to the other nodes.
 */
public data class AdmissionState(
    val settings: AdmissionSettings = AdmissionSettings(),
    val isDraining: Boolean = false,
    val nodes: Int = 1,
    val requests: PersistentMap<RequestId, AdmittedRequest> = persistentHashMapOf(),
    val organisations: PersistentMap<OrganisationId, OrganisationState> = persistentHashMapOf(),
    val services: PersistentMap<ServiceId, ServiceLoad> = persistentHashMapOf(),
    val activeWeight: Int = 0,
    val reportedAt: Duration = Duration.ZERO,
) {
    /** Returns what is known of [id]. */
    public fun organisation(id: OrganisationId): OrganisationState = organisations[id] ?: UNKNOWN

    /** Returns the load of the service [id]. */
    public fun service(id: ServiceId): ServiceLoad = services[id] ?: UNLOADED

    /** Returns what this node spends on each organisation that has work here. */
    public fun usage(now: Duration): Map<OrganisationId, Usage> =
        organisations.filterValues { it.inService.isNotEmpty() }.mapValues { it.value.usage(now) }

    /** Checks that the admitted requests and the counts made from them agree. */
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
     * It is the weighted share of the slots, plus a tolerance for the random spread of arrivals
     * that shrinks as the slots fill. An organisation that is alone has no limit. One that offers
     * far more than its share has no tolerance and leaves the head room of the others.
     */
    internal fun fairShare(id: OrganisationId, service: ServiceId, now: Duration): Double {
        val held = organisation(id)
        val total = activeWeight + if (held.isActive) 0 else held.limits.weight
        if (total == held.limits.weight) return Double.POSITIVE_INFINITY
        val slots = service(service).slots.toDouble()
        val share = slots * held.limits.weight / total
        val free = (1 - service(service).load / maxOf(1.0, slots)).coerceAtLeast(0.0)
        val tolerance = SPREAD * sqrt(share) * minOf(1.0, free / (1 - settings.borrowLimit))
        val offered = held.offeredRate.at(now) + held.heard.offered
        val isBurst = offered > BURST_FACTOR * share
        val allowed = if (isBurst) share * settings.borrowLimit else share + tolerance
        return nodeShare(allowed, nodes, held.heard.concurrent.toDouble())
    }

    internal fun with(id: OrganisationId, next: OrganisationState): AdmissionState {
        val before = organisation(id)
        return copy(
            organisations = organisations.put(id, next),
            activeWeight = activeWeight - weightOf(before) + weightOf(next),
        )
    }

    private fun weightOf(organisation: OrganisationState): Int =
        if (organisation.isActive) organisation.limits.weight else 0

    private companion object {
        const val SPREAD = 2.0
        const val BURST_FACTOR = 1.5
        val UNKNOWN = OrganisationState()
        val UNLOADED = ServiceLoad()
    }
}
