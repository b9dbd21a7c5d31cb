package org.bilberrycart.admission

import kotlinx.serialization.Serializable

/**
 * The limits of one organisation over all nodes.
 *
 * @property weight its share of the capacity, relative to the other organisations.
 * @property requestsPerSecond new requests a second.
 * @property concurrentGenerations generations that run at once.
 * @property tokensPerMinute tokens generated a minute.
 */
@Serializable
public data class OrganisationLimits(
    val weight: Int = 1,
    val requestsPerSecond: Double = 50.0,
    val concurrentGenerations: Int = 100,
    val tokensPerMinute: Long = 600_000,
)
