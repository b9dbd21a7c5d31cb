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
 * Decides which organisations have histograms of their own.
 *
 * @property sizes the requests of each organisation; halved each minute, so that old load fades.
 * @property named the organisations with histograms of their own.
 */
public data class LargestOrganisations(
    val sizes: PersistentMap<OrganisationId, Double> = persistentMapOf(),
    val named: PersistentSet<OrganisationId> = persistentSetOf(),
) {
    /** Counts a request of [organisation], naming it while fewer than [limit] are named. */
    public fun count(organisation: OrganisationId, limit: Int): LargestOrganisations = copy(
        sizes = sizes.put(organisation, (sizes[organisation] ?: 0.0) + 1.0),
        named = if (named.size < limit) named.add(organisation) else named,
    )

    /** Returns the series that waits of [organisation] go to. */
    public fun seriesOf(organisation: OrganisationId): OrganisationSeries = if (organisation in
        named
    ) {
        OrganisationSeries.Named(organisation)
    } else {
        OrganisationSeries.Others
    }

    /**
     * Ends a minute: names at most [limit] organisations, the largest ones.
     *
     * Hysteresis keeps two of about the same size from replacing each other each minute: a newcomer
     * must be larger by [MARGIN].
     */
    public fun endMinute(limit: Int): Ranking {
        val next = sizes.entries.sortedByDescending { (id, size) -> weigh(id, size) }
            .take(limit).map { it.key }.toPersistentSet()
        val faded = sizes.mapValues { it.value / 2 }.filterValues { it >= SMALLEST }
        val kept = named.filter { it !in sizes }.take(limit - next.size)
        val all = next.addAll(kept)
        return Ranking(
            organisations = LargestOrganisations(faded.toPersistentMap(), all),
            forgotten = named.filter { it !in all }.toPersistentList(),
        )
    }

    private fun weigh(id: OrganisationId, size: Double): Double =
        if (id in named) size * MARGIN else size

    /** The next choice, and the organisations that lost their histograms by it. */
    public data class Ranking(
        val organisations: LargestOrganisations,
        val forgotten: PersistentList<OrganisationId> = persistentListOf(),
    )

    private companion object {
        const val MARGIN = 1.5
        const val SMALLEST = 0.25
    }
}
