package org.bilberrycart.gateway.model

/**
 * The operator's configuration of a service.
 *
 * @property maxConnections how many connections one upstream accepts from all nodes together.
 * @property engine the capabilities of its model engines; null if it has none.
 */
public data class ServiceConfig(
    val name: ServiceName,
    val healthPath: String,
    val maxConnections: Int,
    val engine: EngineCapabilities? = null,
)
