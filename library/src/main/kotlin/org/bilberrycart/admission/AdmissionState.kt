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
 */
public data class AdmissionState(
    val settings: AdmissionSettings = AdmissionSettings(),
    val isDraining: Boolean = false,
    val nodes: Int = 1,
    val requests: PersistentMap<RequestId, AdmittedRequest> = persistentHashMapOf(),
    val organisations: PersistentMap<OrganisationId, OrganisationState> = persistentHashMapOf(),
    val services: PersistentMap<ServiceId, ServiceLoad> = persistentHashMapOf(),
    val activeWeight: Int = 0,
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
     * Returns how many requests to [service] this node may take for [id] while others wait.
     *
     * It is the weighted share of the slots, plus a tolerance for the random spread of arrivals.
     */
    internal fun fairShare(id: OrganisationId, service: ServiceId): Double {
        val held = organisation(id)
        val total = activeWeight + if (held.isActive) 0 else held.limits.weight
        val share = service(service).slots.toDouble() * held.limits.weight / total
        val tolerant = share + SPREAD * sqrt(share)
        return nodeShare(tolerant, nodes, held.heard.concurrent.toDouble())
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
        val UNKNOWN = OrganisationState()
        val UNLOADED = ServiceLoad()
    }
}
