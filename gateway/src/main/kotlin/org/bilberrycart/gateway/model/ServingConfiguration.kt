package org.bilberrycart.gateway.model

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap

/**
 * The operator's configuration of routes, services, limits and API keys.
 *
 * @property version increases with each change, not necessarily by one.
 * @property organisations the name of the organisation that owns each API key; null if calls
 *   need no key.
 */
public data class ServingConfiguration(
    val version: Long,
    val routes: PersistentList<RouteRule>,
    val services: PersistentMap<ServiceName, ServiceConfig>,
    val limits: RequestLimits,
    val organisations: PersistentMap<String, String>?,
) {
    /** Returns the route of [host] with the longest prefix of [path], or null. */
    public fun routeOf(host: String, path: String): RouteRule? =
        routes.filter { it.host == host && path.startsWith(it.prefix) }
            .maxByOrNull { it.prefix.length }

    /** Returns the service whose engines serve one of [models]; null if several do, or none. */
    public fun serviceOf(models: Set<String>): ServiceName? = services.values
        .filter { service -> service.engine?.models.orEmpty().any { it in models } }
        .singleOrNull()?.name
}
