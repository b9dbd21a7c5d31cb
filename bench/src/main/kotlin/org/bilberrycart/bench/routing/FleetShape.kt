package org.bilberrycart.bench.routing

import kotlinx.serialization.Serializable

/**
 * The fleet of a policy run.
 *
 * @property slots the slots of each engine.
 * @property reportMillis the time between two load reports of an engine.
 * @property reportLagMillis how late a load report arrives.
 * @property cachedPrefixes how many prompt prefixes an engine keeps.
 * @property prefixes the different prefixes that prompts start with.
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
        /** Seventeen runners in three data centres. */
        val SMALL = FleetShape("small", engines = 17)

        /** More than ten times the small fleet, with as many prefixes to an engine. */
        val LARGE = FleetShape("large", engines = 200, nodes = 16, prefixes = 470)
    }
}
