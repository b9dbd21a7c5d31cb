package org.bilberrycart.admission

import kotlinx.serialization.Serializable

/**
 * The limits of one organisation, which hold for all nodes together.
 *
 * @property weight the size of its share of the capacity, relative to the other organisations.
 * @property requestsPerSecond the most new requests per second.
 * @property concurrentGenerations the most generations in flight at the same time.
 * @property tokensPerMinute the most generated tokens per minute.
 */
@Serializable
public data class OrganisationLimits(
    val weight: Int = 1,
    val requestsPerSecond: Double = 50.0,
    val concurrentGenerations: Int = 100,
    val tokensPerMinute: Long = 600_000,
)
