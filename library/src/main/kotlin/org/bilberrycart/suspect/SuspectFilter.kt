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
 * A request that was in flight on an upstream that crashed without announcing its stop is suspect.
 * After the first crash it runs beside as few other suspects as possible; after the second it runs
 * alone on an upstream; after a third crash, while it ran alone, it is refused. A suspect that
 * completes is cleared. At most one attempt of a suspect is in flight at a time.
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
        is SuspectEvent.Returned -> Step(state.copy(crashed = state.crashed.remove(event.upstream)))
        is SuspectEvent.SuspectReported -> Step(state.withReport(event, now))
        SuspectEvent.Tick -> tick(state, now)
    }

    private fun place(
        state: SuspectState,
        placement: Placement,
        now: Duration,
    ): Step<SuspectState, SuspectAction> {
        val fingerprint = placement.request.fingerprint
        val crashes = state.crashesOf(fingerprint)
        return when {
            crashes >= REFUSAL_THRESHOLD -> state.refuse(placement, ResultCode.CRASHES_UPSTREAMS)
            crashes > 0 && state.isInFlight(fingerprint) -> state.hold(placement)
            else -> state.forward(placement, isolationAfter(crashes), now)
        }
    }

    private fun attemptEnded(
        state: SuspectState,
        event: SuspectEvent.AttemptEnded,
        now: Duration,
    ): Step<SuspectState, SuspectAction> {
        val attempt = state.inFlight[event.attempt] ?: return Step(state)
        val fingerprint = attempt.fingerprint
        val withoutAttempt = state.copy(inFlight = state.inFlight.remove(event.attempt))
        val updated = when (val outcome = event.outcome) {
            AttemptOutcome.Completed -> withoutAttempt.copy(
                records = withoutAttempt.records.remove(fingerprint),
                crashed = withoutAttempt.crashed.remove(event.upstream),
            )

            AttemptOutcome.Cancelled -> withoutAttempt

            is AttemptOutcome.Lost ->
                if (isCrash(outcome.cause) && event.upstream !in state.leaving) {
                    withoutAttempt.withLoss(attempt, event.upstream, now)
                } else {
                    withoutAttempt
                }
        }
        return updated.gossip(setOf(fingerprint), now).then { it.releaseHeld(fingerprint, now) }
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
        val kept = state.withoutExpired(now)
        return kept.gossip(kept.records.keys, now).then { it.refuseExpired(now) }
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

/** The number of crashes from which on a request is refused. */
private const val REFUSAL_THRESHOLD = 3

/** The maximum number of held placements of one suspect. */
private const val HELD_LIMIT = 16

/** How long the announcement of an upstream that it will stop is kept. */
private val NOTICE_LIFETIME = 10.minutes

private fun isolationAfter(crashes: Int): Isolation = when (crashes) {
    0 -> Isolation.NONE
    1 -> Isolation.APART
    else -> Isolation.ALONE
}

/** Returns whether [cause] can mean that the upstream crashed. */
private fun isCrash(cause: LossCause): Boolean = when (cause) {
    LossCause.RESET, LossCause.ENDED_EARLY, LossCause.SILENT, LossCause.GONE -> true
    LossCause.REFUSED, LossCause.PROTOCOL, LossCause.DEADLINE -> false
}

/** Returns whether an attempt of the request with [fingerprint] is in flight. */
private fun SuspectState.isInFlight(fingerprint: Fingerprint): Boolean =
    inFlight.values.any { it.fingerprint == fingerprint }

private fun SuspectState.forward(
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

private fun SuspectState.refuseExpired(now: Duration): Step<SuspectState, SuspectAction> =
    held.values.flatten()
        .filter { it.request.deadline <= now }
        .fold(Step(this)) { step, expired ->
            step.then {
                it.withoutHeld(expired.attempt).refuse(expired, ResultCode.DEADLINE_PASSED)
            }
        }

/**
 * Reports crashes that the other nodes do not know of yet.
 *
 * A first crash is reported only after [SuspectState.MASS_LOSS_WINDOW], when it is known not to be
 * part of a mass loss; further crashes are reported at once.
 */
private fun SuspectState.gossip(
    fingerprints: Set<Fingerprint>,
    now: Duration,
): Step<SuspectState, SuspectAction> = fingerprints.fold(Step(this)) { step, fingerprint ->
    step.then { it.gossip(fingerprint, now) }
}

private fun SuspectState.gossip(
    fingerprint: Fingerprint,
    now: Duration,
): Step<SuspectState, SuspectAction> {
    val record = records[fingerprint] ?: return Step(this)
    val isUnreported = record.crashes > record.gossipedCrashes
    val isConfirmed = record.crashes > 1 || now - record.changedAt > SuspectState.MASS_LOSS_WINDOW
    if (!isUnreported || !isConfirmed) return Step(this)
    return copy(records = records.put(fingerprint, record.copy(gossipedCrashes = record.crashes)))
        .withActions(SuspectAction.Gossip(fingerprint, record.crashes, record.expiresAt - now))
}
