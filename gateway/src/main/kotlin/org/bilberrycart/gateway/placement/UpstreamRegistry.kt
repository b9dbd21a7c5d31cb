package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.plus
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.gateway.model.ServiceName
import org.bilberrycart.gateway.model.UpstreamEntry
import org.bilberrycart.gateway.model.UpstreamId
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.withActions

/**
 * Maintains the known upstreams: those that the registry lists, and those found in their place.
 *
 * An engine that restarts under another id keeps its address. While the registry can't be read, its
 * new id is learnt from its answer to a call for the previous id. It is then adopted, and dropped
 * only if the registry doesn't list it within a grace period.
 */
internal object UpstreamRegistry {
    /** Replaces the listed upstreams by [entries]; adopted ones that are missing are kept. */
    fun applyListing(
        state: PlacementState,
        entries: PersistentList<UpstreamEntry>,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val listed = entries.associateBy { it.id }
        val (adopted, gone) = state.upstreams.values.filter { it.entry.id !in listed }
            .partition { it.isAdopted }
        val merged = entries.fold(state) { next, entry -> mergeEntry(next, entry) }
        val kept = adopted.fold(merged) { next, view ->
            next.with(view.copy(missingSince = view.missingSince ?: now))
        }
        return Step(removeUpstreams(kept, gone), statusChanges(state, entries) + departures(gone))
    }

    /**
     * Adopts an upstream that answered at the address of another, if it has the same service and
     * that service has one software version only, since its answer doesn't tell its own.
     */
    fun applyIdentification(
        state: PlacementState,
        event: PlacementEvent.Identified,
    ): Step<PlacementState, PlacementAction> {
        val replaced = state.upstreams[event.replaced]?.entry
        return when {
            replaced == null || !state.isNew(event.id) -> Step(state)
            event.service != replaced.service -> state.withActions(
                PlacementAction.UpstreamStatusChanged(
                    event.id,
                    "unknown",
                    "service ${event.service?.value}",
                ),
            )
            hasSeveralVersions(state, replaced.service) -> state.withActions(
                PlacementAction.UpstreamStatusChanged(event.id, "unknown", "software version"),
            )
            else -> {
                val entry = replaced.copy(
                    id = event.id,
                    isLeaving = false,
                    startedAtMillis = event.startedAtMillis,
                )
                val rank = state.share.rank(entry.id)
                val adopted = UpstreamView(entry, isAdopted = true, rank = rank)
                state.with(adopted).withActions(
                    PlacementAction.UpstreamStatusChanged(
                        event.id,
                        "adopted",
                        "after ${event.replaced.value}",
                    ),
                )
            }
        }
    }

    /** Whether the upstreams of [service] run several versions of their software. */
    private fun hasSeveralVersions(state: PlacementState, service: ServiceName): Boolean =
        state.upstreams.values.filter { it.entry.service == service }
            .map { it.entry.softwareVersion }.distinct().size > 1

    /** Drops adopted upstreams that the registry has not listed within the grace period. */
    fun removeExpired(state: PlacementState, now: Duration): Step<PlacementState, PlacementAction> {
        val gone = state.upstreams.values.filter { view ->
            view.missingSince?.let { now - it > REGISTRATION_GRACE } == true
        }
        if (gone.isEmpty()) return Step(state)
        return Step(removeUpstreams(state, gone), departures(gone).toPersistentList())
    }

    private fun mergeEntry(state: PlacementState, entry: UpstreamEntry): PlacementState {
        val known = state.upstreams[entry.id]
        return when {
            known == null || known.entry.startedAtMillis != entry.startedAtMillis ->
                state.with(restartedView(state, entry, known))
            known.isAdopted || known.entry != entry ->
                state.with(known.copy(entry = entry, isAdopted = false, missingSince = null))
            else -> state
        }
    }

    private fun restartedView(
        state: PlacementState,
        entry: UpstreamEntry,
        known: UpstreamView?,
    ): UpstreamView = UpstreamView(
        entry,
        running = known?.running ?: 0,
        backups = known?.backups ?: 0,
        rank = state.share.rank(entry.id),
        saysLeaving = Incarnation.of(entry) in state.leaving,
    )

    private fun removeUpstreams(state: PlacementState, gone: List<UpstreamView>): PlacementState {
        val known = (state.departed + gone.map { it.entry.id }).distinct().takeLast(MAX_DEPARTED)
        return gone.fold(state.copy(departed = known.toPersistentList())) { next, view ->
            when {
                view.isUnused -> next.copy(upstreams = next.upstreams.remove(view.entry.id))
                else -> next.with(view.asLeaving())
            }
        }
    }

    private fun UpstreamView.asLeaving(): UpstreamView =
        copy(entry = entry.copy(isLeaving = true), isAdopted = false, missingSince = null)

    private fun statusChanges(
        state: PlacementState,
        entries: PersistentList<UpstreamEntry>,
    ): PersistentList<PlacementAction> = entries.mapNotNull { entry ->
        val known = state.upstreams[entry.id]?.entry
        when {
            known == null -> PlacementAction.UpstreamStatusChanged(
                entry.id,
                "listed",
                entry.toString(),
            )
            known.startedAtMillis != entry.startedAtMillis ->
                PlacementAction.UpstreamStatusChanged(entry.id, "restarted", entry.toString())
            !known.isLeaving && entry.isLeaving ->
                PlacementAction.UpstreamStatusChanged(entry.id, "leaving", "registry")
            else -> null
        }
    }.toPersistentList()

    private fun departures(gone: List<UpstreamView>): List<PlacementAction> =
        gone.filter { !it.entry.isLeaving || it.isUnused }
            .map { PlacementAction.UpstreamStatusChanged(it.entry.id, "gone", "registry") }

    private const val MAX_DEPARTED = 512

    /** Live upstreams register again within this time after the store has recovered. */
    private val REGISTRATION_GRACE = 2500.milliseconds
}

/** Whether [id] is neither a known nor a departed upstream. */
internal fun PlacementState.isNew(id: UpstreamId): Boolean = id !in upstreams && id !in departed
