package org.bilberrycart.bench.routing

import kotlinx.serialization.Serializable

/**
 * The cost of the decisions at one size.
 *
 * @property microsPerRequest processor time of admission, suspects and routing for one request,
 * from its arrival to its end, in microseconds; the median of several rounds.
 * @property stateBytes the heap that the state keeps once requests were served.
 * @property microsPerTick processor time of one tick in microseconds.
 */
@Serializable
data class CapacityPoint(
    val upstreams: Int,
    val organisations: Int,
    val microsPerRequest: Double,
    val stateBytes: Long,
    val microsPerTick: Double,
)

/** A straight line through measured points: the value at zero and the [slope] for each unit. */
@Serializable
data class Line(val atZero: Double, val slope: Double)

/**
 * The measured points and the lines through them.
 *
 * @property bytesPerUpstream the line of the state by the number of upstreams.
 * @property bytesPerOrganisation the line of the state by the number of organisations.
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
