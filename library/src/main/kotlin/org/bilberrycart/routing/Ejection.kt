package org.bilberrycart.routing

import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.model.AttemptOutcome
import org.bilberrycart.model.LossCause
import org.bilberrycart.model.UpstreamId

/** The number of consecutive losses after which an upstream is ejected. */
private const val LOSSES_TO_EJECT = 3

/** The share of each pool that may be ejected at the same time, rounded up to whole upstreams. */
private const val MAX_EJECTED_SHARE = 0.34

/** How many times the duration of an ejection may double. */
private const val MAX_DOUBLINGS = 4

/** How long an upstream that refused work counts as full unless it reports its load earlier. */
private val REFUSAL_PAUSE = 500.milliseconds

/** How long the first ejection lasts. */
private val FIRST_EJECTION_DURATION = 5.seconds

/** Returns this state after an attempt on [id] ended with [outcome], which may eject [id]. */
internal fun RoutingState.withOutcome(
    id: UpstreamId,
    outcome: AttemptOutcome,
    now: Duration,
): RoutingState = when (outcome) {
    AttemptOutcome.Cancelled -> this
    AttemptOutcome.Completed ->
        updateUpstream(id) { it.copy(consecutiveLosses = 0, consecutiveEjections = 0) }
    is AttemptOutcome.Lost -> withLoss(id, outcome.cause, now)
}

private fun RoutingState.withLoss(id: UpstreamId, cause: LossCause, now: Duration): RoutingState =
    when (cause) {
        LossCause.REFUSED -> updateUpstream(id) { it.copy(fullUntil = now + REFUSAL_PAUSE) }

        LossCause.DEADLINE -> this

        LossCause.GONE -> withLosses(id, LOSSES_TO_EJECT, now)

        LossCause.RESET, LossCause.ENDED_EARLY, LossCause.SILENT, LossCause.PROTOCOL ->
            withLosses(id, 1, now)
    }

private fun RoutingState.withLosses(id: UpstreamId, newLosses: Int, now: Duration): RoutingState {
    val upstream = upstreams[id] ?: return this
    val losses = upstream.consecutiveLosses + newLosses
    val reachesLimit = losses >= LOSSES_TO_EJECT && !upstream.isEjected(now)
    return when {
        !reachesLimit -> updateUpstream(id) { it.copy(consecutiveLosses = losses) }
        mayEject(upstream, now) -> updateUpstream(id) { it.withEjection(now) }
        else -> updateUpstream(id) { it.copy(consecutiveLosses = 0, slowStartAt = now) }
    }
}

private fun UpstreamState.withEjection(now: Duration): UpstreamState {
    val factor = 1 shl minOf(consecutiveEjections, MAX_DOUBLINGS)
    return copy(
        consecutiveLosses = 0,
        consecutiveEjections = consecutiveEjections + 1,
        slowStartAt = now + FIRST_EJECTION_DURATION * factor,
    )
}

private fun RoutingState.mayEject(candidate: UpstreamState, now: Duration): Boolean =
    candidate.pools.all { key ->
        val pool = pools.getValue(key)
        val ejectedCount =
            (0 until pool.size).count { upstreams.getValue(pool[it]).isEjected(now) }
        ejectedCount < ceil(pool.size * MAX_EJECTED_SHARE)
    }
