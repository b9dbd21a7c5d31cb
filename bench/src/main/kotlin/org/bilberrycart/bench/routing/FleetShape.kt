package org.bilberrycart.bench.routing

import kotlinx.serialization.Serializable

/**
 * The size of the fleet of a policy run and the delays in it.
 *
 * @property slots the slots of each engine.
 * @property reportMillis the time between two load reports of an engine, in milliseconds.
 * @property reportLagMillis the delay with which a load report arrives, in milliseconds.
 * @property cachedPrefixes how many prompt prefixes an engine caches.
 * @property prefixes how many different prefixes prompts start with.
 */
@Serializable
data class FleetShape(
    val name: String,
    val engines: Int,
    val nodes: Int = 4,
    val slots: Int = 8,
    val dataCentres: Int = 3,
    val organisations: Int = 10,
    val reportMillis: Int = 1_000,
    val reportLagMillis: Int = 500,
    val cachedPrefixes: Int = 8,
    val prefixes: Int = 40,
) {
    companion object {
        /** Seventeen engines in three data centres. */
        val SMALL = FleetShape("small", engines = 17)

        /** More than ten times as many engines as [SMALL], with as many prefixes per engine. */
        val LARGE = FleetShape("large", engines = 200, nodes = 16, prefixes = 470)
    }
}
