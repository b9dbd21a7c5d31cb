package org.bilberrycart.gateway.node

import kotlinx.serialization.Serializable

/**
 * The settings of a gateway node, read from JSON with comments.
 *
 * @property node the name of this node.
 * @property address the host on which this node serves metrics and its peers.
 * @property dataCentre the data centre of this node.
 * @property callers the address on which callers connect, as HOST:PORT.
 * @property status the address on which the platform checks readiness, as HOST:PORT.
 * @property metricsPort the port for metrics on [address].
 * @property store the address of the store, as HOST:PORT.
 * @property peerPort the port for peers on [address].
 * @property seeds peers to contact first, as HOST:PORT; [peerPort] is used instead of PORT.
 * @property graceSeconds the time from SIGTERM to SIGKILL.
 * @property contactMillis within what time a node notices that its store connection is dead.
 * @property applyMillis within what time of the store's acknowledgement a change of the
 *   configuration is in force; [drainMillis] if null.
 * @property drainMillis how long a leaving upstream serves after the registry says that it leaves.
 * @property repeatRatio the retries that all nodes together may send for each first attempt.
 * @property repeatWindowSeconds the window over which the retry budget counts attempts.
 * @property repeatSlack the retries beyond [repeatRatio] in a window, shared by all nodes.
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
    val contactMillis: Long = 3_000,
    val applyMillis: Long? = null,
    val drainMillis: Long = 2_000,
    val repeatRatio: Double = 0.8,
    val repeatWindowSeconds: Double = 10.0,
    val repeatSlack: Double = 150.0,
)
