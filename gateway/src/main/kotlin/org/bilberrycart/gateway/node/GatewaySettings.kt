package org.bilberrycart.gateway.node

import kotlinx.serialization.Serializable

/**
 * The settings of a gateway node, read from JSON with comments.
 *
 * @property callers where callers connect, as HOST:PORT.
 * @property status where the platform asks whether the node is ready.
 * @property metricsPort the port for metrics on [address].
 * @property store the address of the store.
 * @property graceSeconds the time from SIGTERM to SIGKILL.
 */
@Serializable
public data class GatewaySettings(
    val node: String,
    val address: String,
    val dataCentre: String,
    val callers: String,
    val status: String,
    val metricsPort: Int,
    val store: String,
    val peerPort: Int = 0,
    val seeds: List<String> = emptyList(),
    val graceSeconds: Double = 8.0,
    val repeatRatio: Double = 0.8,
    val repeatWindowSeconds: Double = 10.0,
    val repeatSlack: Double = 150.0,
)
