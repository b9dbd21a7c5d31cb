package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.plus
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.gateway.model.UpstreamEntry
import org.bilberrycart.gateway.model.UpstreamId
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.withActions

/**
 * Which upstreams there are: those that the registry lists, and those that were met instead.
 *
 * An engine that starts again under another id keeps its address. While the registry can't be read
 * it says who it is when it gets a call for the id before; it is taken in until the registry has
 * had the time to name it.
 */
internal object Registry {
    /** The registry lists exactly [entries]. */
    fun registered(
        state: PlacementState,
        entries: PersistentList<UpstreamEntry>,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val listed = entries.associateBy { it.id }
        val (adopted, gone) = state.upstreams.values.filter { it.entry.id !in listed }
            .partition { it.isAdopted }
        val merged = entries.fold(state) { next, entry -> merged(next, entry) }
        val kept = adopted.fold(merged) { next, view ->
            next.with(view.copy(missingSince = view.missingSince ?: now))
        }
        return Step(left(kept, gone), beliefs(state, entries) + departures(gone))
    }

    /** Takes in an upstream that answered at the address of another, if it serves the same. */
    fun identified(
        state: PlacementState,
        event: PlacementEvent.Identified,
    ): Step<PlacementState, PlacementAction> {
        val replaced = state.upstreams[event.replaced]?.entry
        return when {
            replaced == null || !state.isNew(event.id) -> Step(state)
            event.service != replaced.service -> state.withActions(
                PlacementAction.Believe(event.id, "unknown", "service ${event.service?.value}"),
            )
            else -> {
                val entry = replaced.copy(
                    id = event.id,
                    isLeaving = false,
                    bornMillis = event.bornMillis,
                )
                state.with(UpstreamView(entry, isAdopted = true)).withActions(
                    PlacementAction.Believe(event.id, "adopted", "after ${event.replaced.value}"),
                )
            }
        }
    }

    /** Drops those taken in that the registry has had the time to name. */
    fun expired(state: PlacementState, now: Duration): Step<PlacementState, PlacementAction> {
        val gone = state.upstreams.values.filter { view ->
            view.missingSince?.let { now - it > REGISTRATION_GRACE } == true
        }
        if (gone.isEmpty()) return Step(state)
        return Step(left(state, gone), departures(gone).toPersistentList())
    }

    private fun merged(state: PlacementState, entry: UpstreamEntry): PlacementState {
        val known = state.upstreams[entry.id]
        return when {
            known == null || known.entry.bornMillis != entry.bornMillis ->
                state.with(renewed(entry, known))
            known.isAdopted || known.entry != entry ->
                state.with(known.copy(entry = entry, isAdopted = false, missingSince = null))
            else -> state
        }
    }

    private fun renewed(entry: UpstreamEntry, known: UpstreamView?): UpstreamView =
        UpstreamView(entry, running = known?.running ?: 0, copies = known?.copies ?: 0)

    private fun left(state: PlacementState, gone: List<UpstreamView>): PlacementState {
        val known = (state.former + gone.map { it.entry.id }).distinct().takeLast(MAX_FORMER)
        return gone.fold(state.copy(former = known.toPersistentList())) { next, view ->
            when {
                view.isUnused -> next.copy(upstreams = next.upstreams.remove(view.entry.id))
                else -> next.with(view.asLeaving())
            }
        }
    }

    private fun UpstreamView.asLeaving(): UpstreamView =
        copy(entry = entry.copy(isLeaving = true), isAdopted = false, missingSince = null)

    private fun beliefs(
        state: PlacementState,
        entries: PersistentList<UpstreamEntry>,
    ): PersistentList<PlacementAction> = entries.mapNotNull { entry ->
        val known = state.upstreams[entry.id]?.entry
        when {
            known == null -> PlacementAction.Believe(entry.id, "listed", entry.toString())
            known.bornMillis != entry.bornMillis ->
                PlacementAction.Believe(entry.id, "restarted", entry.toString())
            !known.isLeaving && entry.isLeaving ->
                PlacementAction.Believe(entry.id, "leaving", "registry")
            else -> null
        }
    }.toPersistentList()

    private fun departures(gone: List<UpstreamView>): List<PlacementAction> =
        gone.filter { !it.entry.isLeaving || it.isUnused }
            .map { PlacementAction.Believe(it.entry.id, "gone", "registry") }

    private const val MAX_FORMER = 512

    /** Upstreams that live register again within this time of the store's return. */
    private val REGISTRATION_GRACE = 2500.milliseconds
}

/** Whether [id] is an upstream of which nothing was known so far. */
internal fun PlacementState.isNew(id: UpstreamId): Boolean = id !in upstreams && id !in former
