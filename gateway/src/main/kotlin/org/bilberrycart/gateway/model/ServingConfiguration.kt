package org.bilberrycart.gateway.model

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap

/**
 * Everything that the operator decides about serving calls.
 *
 * @property version grows with each change, in steps of any size.
 * @property organisations the name of the organisation that holds each key; null where calls need
 *   no key at all.
 */
public data class ServingConfiguration(
    val version: Long,
    val routes: PersistentList<RouteRule>,
    val services: PersistentMap<ServiceName, ServiceRule>,
    val limits: RequestLimits,
    val organisations: PersistentMap<String, String>?,
) {
    /** Returns the route of [host] with the longest prefix of [path], or null. */
    public fun routeOf(host: String, path: String): RouteRule? =
        routes.filter { it.host == host && path.startsWith(it.prefix) }
            .maxByOrNull { it.prefix.length }

    /** Returns the only service whose engines hold one of [models]; null if several do, or none. */
    public fun serviceOf(models: Set<String>): ServiceName? = services.values
        .filter { service -> service.engine?.models.orEmpty().any { it in models } }
        .singleOrNull()?.name
}
