package org.bilberrycart.news

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.bilberrycart.model.OrganisationId

/**
 * What [organisation] uses on one node, or on all.
 *
 * @property requestsPerSecond new requests a second.
 * @property running generations that run now.
 * @property tokensPerMinute tokens generated a minute.
 */
@Serializable
@CborArray
public data class OrganisationUse(
    val organisation: OrganisationId,
    val requestsPerSecond: Float,
    val running: Int,
    val tokensPerMinute: Long,
) {
    /** Adds the use on another node. */
    public operator fun plus(other: OrganisationUse): OrganisationUse = copy(
        requestsPerSecond = requestsPerSecond + other.requestsPerSecond,
        running = running + other.running,
        tokensPerMinute = tokensPerMinute + other.tokensPerMinute,
    )
}
