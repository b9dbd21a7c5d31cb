package org.bilberrycart.gateway.model

/**
 * The registry entry of one upstream.
 *
 * @property softwareVersion the version of its software, not of its model; null if unknown.
 * @property startedAtMillis when this incarnation started, in Unix milliseconds; null if unknown.
 * @property isLeaving whether it accepts no new calls.
 */
public data class UpstreamEntry(
    val id: UpstreamId,
    val service: ServiceName,
    val host: String,
    val port: Int,
    val dataCentre: String,
    val slots: Int,
    val softwareVersion: String? = null,
    val isLeaving: Boolean = false,
    val startedAtMillis: Long? = null,
) {
    /** Where it listens, as HOST:PORT. */
    public val address: String
        get() = "$host:$port"
}
