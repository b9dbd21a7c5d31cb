package org.bilberrycart.suspect

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.AttemptOutcome
import org.bilberrycart.model.Fingerprint
import org.bilberrycart.model.Isolation
import org.bilberrycart.model.LossCause
import org.bilberrycart.model.Placement
import org.bilberrycart.model.ResultCode
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then
import org.bilberrycart.pipeline.withActions

/**
 * Keeps requests that crash upstreams from crashing more of them.
 *
 * Work in flight on an upstream that died without notice is suspect. Suspects are resumed apart
 * from each other; after the second death one runs alone on an upstream; after the third, which it
 * was alone on, it is refused. A suspect that completes is cleared. Of a suspect, one copy at a
 * time is in flight.
 */
public class SuspectFilter : Filter<SuspectState, SuspectEvent, SuspectAction> {
    override fun step(
        state: SuspectState,
        event: SuspectEvent,
        now: Duration,
    ): Step<SuspectState, SuspectAction> = when (event) {
        is SuspectEvent.Place -> place(state, event.placement, now)
        is SuspectEvent.AttemptEnded -> attemptEnded(state, event, now)
        is SuspectEvent.NotPlaced -> notPlaced(state, event.attempt, now)
        is SuspectEvent.Leaving -> Step(leaving(state, event, now))
        is SuspectEvent.Returned -> Step(state.copy(dead = state.dead.remove(event.upstream)))
        is SuspectEvent.SuspectHeard -> Step(state.heard(event, now))
        SuspectEvent.Tick -> tick(state, now)
    }

    private fun place(
        state: SuspectState,
        placement: Placement,
        now: Duration,
    ): Step<SuspectState, SuspectAction> {
        val fingerprint = placement.request.fingerprint
        val deaths = state.deathsOf(fingerprint)
        return when {
            deaths >= REFUSED_FROM -> state.refuse(placement, ResultCode.CRASHES_UPSTREAMS)
            deaths > 0 && state.hasCopy(fingerprint) -> state.hold(placement)
            else -> state.pass(placement, isolationAfter(deaths), now)
        }
    }

    private fun attemptEnded(
        state: SuspectState,
        event: SuspectEvent.AttemptEnded,
        now: Duration,
    ): Step<SuspectState, SuspectAction> {
        val attempt = state.inFlight[event.attempt] ?: return Step(state)
        val fingerprint = attempt.fingerprint
        val over = state.copy(inFlight = state.inFlight.remove(event.attempt))
        val judged = when (val outcome = event.outcome) {
            AttemptOutcome.Completed -> over.copy(
                records = over.records.remove(fingerprint),
                dead = over.dead.remove(event.upstream),
            )

            AttemptOutcome.Cancelled -> over

            is AttemptOutcome.Lost ->
                if (isDeath(outcome.cause) && event.upstream !in state.leaving) {
                    over.lost(attempt, event.upstream, now)
                } else {
                    over
                }
        }
        return judged.spread(setOf(fingerprint), now).then { it.releaseHeld(fingerprint, now) }
    }

    private fun notPlaced(
        state: SuspectState,
        attempt: AttemptId,
        now: Duration,
    ): Step<SuspectState, SuspectAction> {
        val held = state.inFlight[attempt] ?: return Step(state.withoutHeld(attempt))
        return state.copy(inFlight = state.inFlight.remove(attempt))
            .releaseHeld(held.fingerprint, now)
    }

    private fun leaving(state: SuspectState, event: SuspectEvent.Leaving, now: Duration) =
        state.copy(leaving = state.leaving.put(event.upstream, now + NOTICE_LIFETIME))

    private fun tick(state: SuspectState, now: Duration): Step<SuspectState, SuspectAction> {
        val kept = state.expired(now)
        return kept.spread(kept.records.keys, now).then { it.refuseLate(now) }
    }

    private fun SuspectState.releaseHeld(
        fingerprint: Fingerprint,
        now: Duration,
    ): Step<SuspectState, SuspectAction> {
        val waiting = held[fingerprint] ?: return Step(this)
        val start: Step<SuspectState, SuspectAction> = Step(copy(held = held.remove(fingerprint)))
        return waiting.fold(start) { step, item -> step.then { place(it, item, now) } }
    }
}

private const val REFUSED_FROM = 3
private const val HELD_LIMIT = 16
private val NOTICE_LIFETIME = 10.minutes

private fun isolationAfter(deaths: Int): Isolation = when (deaths) {
    0 -> Isolation.NONE
    1 -> Isolation.APART
    else -> Isolation.ALONE
}

private fun isDeath(cause: LossCause): Boolean = when (cause) {
    LossCause.RESET, LossCause.ENDED_EARLY, LossCause.SILENT, LossCause.GONE -> true
    LossCause.REFUSED, LossCause.PROTOCOL, LossCause.DEADLINE -> false
}

private fun SuspectState.hasCopy(fingerprint: Fingerprint): Boolean =
    inFlight.values.any { it.fingerprint == fingerprint }

private fun SuspectState.pass(
    placement: Placement,
    isolation: Isolation,
    now: Duration,
): Step<SuspectState, SuspectAction> {
    val isAlone = isolation == Isolation.ALONE
    val attempt = SuspectAttempt(placement.request.fingerprint, now, isAlone)
    return copy(inFlight = inFlight.put(placement.attempt, attempt))
        .withActions(SuspectAction.Place(placement.copy(isolation = isolation)))
}

private fun SuspectState.refuse(
    placement: Placement,
    code: ResultCode,
): Step<SuspectState, SuspectAction> =
    withActions(SuspectAction.Refuse(placement.attempt, placement.request, code))

private fun SuspectState.hold(placement: Placement): Step<SuspectState, SuspectAction> {
    val fingerprint = placement.request.fingerprint
    val waiting = held[fingerprint] ?: persistentListOf()
    if (waiting.size >= HELD_LIMIT) return refuse(placement, ResultCode.OVERLOADED)
    return Step(copy(held = held.put(fingerprint, waiting.add(placement))))
}

private fun SuspectState.withoutHeld(attempt: AttemptId): SuspectState {
    val (fingerprint, waiting) = held.entries
        .firstOrNull { (_, waiting) -> waiting.any { it.attempt == attempt } }
        ?: return this
    val left = waiting.removeAll { it.attempt == attempt }
    val next = if (left.isEmpty()) held.remove(fingerprint) else held.put(fingerprint, left)
    return copy(held = next)
}

private fun SuspectState.refuseLate(now: Duration): Step<SuspectState, SuspectAction> =
    held.values.flatten()
        .filter { it.request.deadline <= now }
        .fold(Step(this)) { step, late ->
            step.then {
                it.withoutHeld(late.attempt).refuse(late, ResultCode.DEADLINE_PASSED)
            }
        }

/** Tells of a first death once it is no part of a mass loss, and of further ones at once. */
private fun SuspectState.spread(
    fingerprints: Set<Fingerprint>,
    now: Duration,
): Step<SuspectState, SuspectAction> = fingerprints.fold(Step(this)) { step, fingerprint ->
    step.then { it.spread(fingerprint, now) }
}

private fun SuspectState.spread(
    fingerprint: Fingerprint,
    now: Duration,
): Step<SuspectState, SuspectAction> {
    val record = records[fingerprint] ?: return Step(this)
    val isNews = record.deaths > record.spreadDeaths
    val isSure = record.deaths > 1 || now - record.changedAt > SuspectState.MASS_WINDOW
    if (!isNews || !isSure) return Step(this)
    return copy(records = records.put(fingerprint, record.copy(spreadDeaths = record.deaths)))
        .withActions(SuspectAction.Spread(fingerprint, record.deaths, record.expiresAt - now))
}
