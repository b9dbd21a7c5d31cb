package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.gateway.model.AttemptKey
import org.bilberrycart.gateway.model.CallFingerprint
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then
import org.bilberrycart.pipeline.withActions

/** Decides where each call goes, when it is sent again, and when it ends. */
public class PlacementFilter(private val settings: PlacementSettings = PlacementSettings()) :
    Filter<PlacementState, PlacementEvent, PlacementAction> {
    private val placing = Placing(settings)
    private val losses = Losses(settings, placing)
    private val answers = Answers(losses)
    private val ticks = Ticks(settings, placing, losses)

    override fun step(
        state: PlacementState,
        event: PlacementEvent,
        now: Duration,
    ): Step<PlacementState, PlacementAction> = when (event) {
        is PlacementEvent.Submit -> placing.place(state, CallState(event.call), now, "new")
        is PlacementEvent.CallerGone ->
            state.calls[event.key]?.let { Ending.forget(state, it, "caller gone") } ?: Step(state)
        is PlacementEvent.Answered -> answers.answered(state, event.attempt, event.answer, now)
        is PlacementEvent.Unsent -> losses.unsent(state, event.attempt, event.cause, now)
        is PlacementEvent.Broken -> struck(state, event.attempt, now)
            .then { losses.broken(it, event.attempt, event.cause, now) }
        is PlacementEvent.StreamOpened -> moved(state, event.attempt, now, hasEvents = false)
        is PlacementEvent.StreamMoved -> moved(state, event.attempt, now, hasEvents = true)
        is PlacementEvent.StreamEnded -> ended(state, event.attempt, now)
        is PlacementEvent.Registered -> Registry.registered(state, event.entries, now)
        is PlacementEvent.Identified -> Registry.identified(state, event)
        is PlacementEvent.Probed -> probed(state, event, now)
        is PlacementEvent.LoadElsewhere -> Step(elsewhere(told(state, event), event, now))
        PlacementEvent.Tick -> Registry.expired(state, now).then { ticks.tick(it, now) }
    }

    /** Notes that an upstream broke off before any sign of an answer. */
    private fun struck(
        state: PlacementState,
        key: AttemptKey,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val call = state.calls[key.call] ?: return Step(state)
        val attempt = call.attempts[key.number]?.takeUnless { it.hasEvents } ?: return Step(state)
        val content = CallFingerprint.of(call.call)
        val book = state.crashes.struck(content, attempt.upstream, now)
        return state.copy(crashes = book)
            .withActions(PlacementAction.Struck(call, attempt.upstream, book.strikes(content)))
    }

    private fun told(state: PlacementState, event: PlacementEvent.LoadElsewhere): PlacementState =
        state.copy(
            crashes = state.crashes.copy(told = event.strikes),
            share = event.share,
            nodes = maxOf(event.share.peers.size + 1, state.nodes ?: 1),
        )

    private fun moved(
        state: PlacementState,
        key: AttemptKey,
        now: Duration,
        hasEvents: Boolean,
    ): Step<PlacementState, PlacementAction> {
        val call = state.calls[key.call] ?: return Step(state)
        val attempt = call.attempts[key.number] ?: return Step(state)
        val moved = attempt.copy(heardAt = now, hasEvents = attempt.hasEvents || hasEvents)
        val since = call.silentSince.takeIf { hasEvents }
        val isFirst = hasEvents && !attempt.hasEvents
        val known = if (isFirst) state.answered(call, now) else state
        val next = call.copy(
            attempts = call.attempts.put(key.number, moved),
            isOpen = true,
            silentSince = if (hasEvents) null else call.silentSince,
        )
        return Step(
            known.with(next).update(attempt.upstream) { it.heard(now) },
            listOfNotNull(since?.let { PlacementAction.Resumed(next, moved, now - it) })
                .toPersistentList(),
        )
    }

    private fun ended(
        state: PlacementState,
        key: AttemptKey,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val call = state.calls[key.call] ?: return Step(state)
        val attempt = call.attempts[key.number] ?: return Step(state)
        val heard = state.update(attempt.upstream) { it.heard(now) }
        return Ending.forget(heard, call, "stream complete", winner = key.number)
    }

    private fun probed(
        state: PlacementState,
        event: PlacementEvent.Probed,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val view = state.upstreams[event.upstream] ?: return Step(state)
        return when {
            event.isAlive -> Step(state.with(view.heard(now)))
            view.probeSentAt == null -> Step(state)
            else -> losses.dead(state, event.upstream, event.cause, now)
        }
    }

    private fun elsewhere(
        state: PlacementState,
        event: PlacementEvent.LoadElsewhere,
        now: Duration,
    ): PlacementState = state.upstreams.values.fold(state) { next, view ->
        val id = view.entry.id
        val lostAt = event.lost[id]?.let { now - it }
        val heard = view.copy(elsewhere = event.loads[id] ?: 0)
        when {
            heard == view && lostAt == null -> next
            lostAt != null && lostAt > view.heardAt && view.failures == 0 ->
                next.with(heard.copy(failures = 1, downUntil = lostAt + settings.firstDown * 2))
            else -> next.with(heard)
        }
    }
}
