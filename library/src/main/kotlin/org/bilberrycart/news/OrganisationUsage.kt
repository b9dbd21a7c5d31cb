package org.bilberrycart.news

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.bilberrycart.model.OrganisationId

/**
 * The usage of [organisation] on one node or summed over several nodes.
 *
 * @property requestsPerSecond new requests per second.
 * @property running generations in progress.
 * @property tokensPerMinute tokens generated per minute.
 */
@Serializable
@CborArray
public data class OrganisationUsage(
    val organisation: OrganisationId,
    val requestsPerSecond: Float,
    val running: Int,
    val tokensPerMinute: Long,
) {
    /** Returns the sum of both usages, for the organisation of this one. */
    public operator fun plus(other: OrganisationUsage): OrganisationUsage = copy(
        requestsPerSecond = requestsPerSecond + other.requestsPerSecond,
        running = running + other.running,
        tokensPerMinute = tokensPerMinute + other.tokensPerMinute,
    )
}
