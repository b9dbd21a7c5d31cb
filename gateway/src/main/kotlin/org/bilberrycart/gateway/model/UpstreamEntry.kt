package org.bilberrycart.gateway.model

/**
 * What one upstream says of itself in the registry.
 *
 * @property bornMillis when this incarnation started, in Unix milliseconds; null if it doesn't say.
 * @property isLeaving whether it takes no new work.
 */
public data class UpstreamEntry(
    val id: UpstreamId,
    val service: ServiceName,
    val host: String,
    val port: Int,
    val dataCentre: String,
    val slots: Int,
    val isLeaving: Boolean = false,
    val bornMillis: Long? = null,
)
