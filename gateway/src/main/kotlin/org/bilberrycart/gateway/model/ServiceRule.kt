package org.bilberrycart.gateway.model

/**
 * A service as the operator configured it.
 *
 * @property maxConnections how many connections one upstream accepts from all nodes together.
 * @property engine what its engines can do, if they are model engines.
 */
public data class ServiceRule(
    val name: ServiceName,
    val healthPath: String,
    val maxConnections: Int,
    val engine: EngineRule? = null,
)
