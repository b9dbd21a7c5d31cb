package org.bilberrycart.metrics

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.bilberrycart.model.OrganisationId

/**
 * Selects the organisations with the most requests, which get their own histograms.
 *
 * @property requestCounts the number of requests of each organisation; it is halved every minute,
 *   so that recent requests weigh more.
 * @property named the organisations that have their own histograms.
 */
public data class LargestOrganisations(
    val requestCounts: PersistentMap<OrganisationId, Double> = persistentMapOf(),
    val named: PersistentSet<OrganisationId> = persistentSetOf(),
) {
    /** Counts a request of [organisation], and names it if fewer than [limit] are named. */
    public fun count(organisation: OrganisationId, limit: Int): LargestOrganisations = copy(
        requestCounts = requestCounts.put(organisation, (requestCounts[organisation] ?: 0.0) + 1.0),
        named = if (named.size < limit) named.add(organisation) else named,
    )

    /** Returns the series that records the wait times of [organisation]. */
    public fun seriesOf(organisation: OrganisationId): OrganisationSeries = if (organisation in
        named
    ) {
        OrganisationSeries.Named(organisation)
    } else {
        OrganisationSeries.Others
    }

    /**
     * Ends a minute, and selects the largest organisations, at most [limit] of them.
     *
     * Hysteresis prevents organisations of similar size from replacing each other every minute: to
     * replace a named organisation, another must be larger by the factor [HYSTERESIS_FACTOR].
     */
    public fun endMinute(limit: Int): Ranking {
        val next = requestCounts.entries.sortedByDescending { (id, count) -> weightOf(id, count) }
            .take(limit).map { it.key }.toPersistentSet()
        val decayed = requestCounts.mapValues { it.value / 2 }.filterValues { it >= MIN_COUNT }
        val kept = named.filter { it !in requestCounts }.take(limit - next.size)
        val all = next.addAll(kept)
        return Ranking(
            organisations = LargestOrganisations(decayed.toPersistentMap(), all),
            removed = named.filter { it !in all }.toPersistentList(),
        )
    }

    private fun weightOf(id: OrganisationId, count: Double): Double =
        if (id in named) count * HYSTERESIS_FACTOR else count

    /** The new selection, and the organisations [removed] by it from the named ones. */
    public data class Ranking(
        val organisations: LargestOrganisations,
        val removed: PersistentList<OrganisationId> = persistentListOf(),
    )

    private companion object {
        const val HYSTERESIS_FACTOR = 1.5
        const val MIN_COUNT = 0.25
    }
}
