package org.bilberrycart.bench.routing

import kotlinx.serialization.Serializable

/**
 * The cost of the admission, suspect and routing filters of one node for one size of the fleet.
 *
 * @property microsPerRequest processor time of the filters for one request, from its arrival to its
 * end, in microseconds; the median of several rounds.
 * @property stateBytes the heap that the state of the filters takes after requests were served.
 * @property microsPerTick processor time of one tick in microseconds; the median of several rounds.
 */
@Serializable
data class CapacityPoint(
    val upstreams: Int,
    val organisations: Int,
    val microsPerRequest: Double,
    val stateBytes: Long,
    val microsPerTick: Double,
)

/** A straight line fitted to measured points: the value at zero and the [slope] per unit. */
@Serializable
data class Line(val atZero: Double, val slope: Double)

/**
 * The measured points and the lines fitted to them.
 *
 * @property microsPerUpstream processor time per request by the number of upstreams.
 * @property bytesPerUpstream size of the state by the number of upstreams.
 * @property microsPerOrganisation processor time per request by the number of organisations.
 * @property bytesPerOrganisation size of the state by the number of organisations.
 */
@Serializable
data class CapacityReport(
    val byUpstreams: List<CapacityPoint>,
    val byOrganisations: List<CapacityPoint>,
    val microsPerUpstream: Line,
    val bytesPerUpstream: Line,
    val microsPerOrganisation: Line,
    val bytesPerOrganisation: Line,
)
