package org.bilberrycart.routing

import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.model.AttemptOutcome
import org.bilberrycart.model.LossCause
import org.bilberrycart.model.UpstreamId

private const val LOSSES_TO_EJECT = 3
private const val MAX_EJECTED_SHARE = 0.34
private const val MAX_DOUBLINGS = 4
private val REFUSAL_PAUSE = 500.milliseconds
private val FIRST_EJECTION = 5.seconds

/** Returns this state once an attempt on [id] has ended with [outcome]. */
internal fun RoutingState.judged(
    id: UpstreamId,
    outcome: AttemptOutcome,
    now: Duration,
): RoutingState = when (outcome) {
    AttemptOutcome.Cancelled -> this
    AttemptOutcome.Completed -> update(id) { it.copy(lossesInRow = 0, ejectionsInRow = 0) }
    is AttemptOutcome.Lost -> judgedLoss(id, outcome.cause, now)
}

private fun RoutingState.judgedLoss(
    id: UpstreamId,
    cause: LossCause,
    now: Duration,
): RoutingState = when (cause) {
    LossCause.REFUSED -> update(id) { it.copy(fullUntil = now + REFUSAL_PAUSE) }

    LossCause.DEADLINE -> this

    LossCause.GONE -> lost(id, LOSSES_TO_EJECT, now)

    LossCause.RESET, LossCause.ENDED_EARLY, LossCause.SILENT, LossCause.PROTOCOL ->
        lost(id, 1, now)
}

private fun RoutingState.lost(id: UpstreamId, losses: Int, now: Duration): RoutingState {
    val held = upstreams[id] ?: return this
    val inRow = held.lossesInRow + losses
    val isOutlier = inRow >= LOSSES_TO_EJECT && !held.isEjected(now)
    return when {
        !isOutlier -> update(id) { it.copy(lossesInRow = inRow) }
        mayEject(held, now) -> update(id) { it.ejected(now) }
        else -> update(id) { it.copy(lossesInRow = 0, returnsAt = now) }
    }
}

private fun UpstreamState.ejected(now: Duration): UpstreamState {
    val factor = 1 shl minOf(ejectionsInRow, MAX_DOUBLINGS)
    return copy(
        lossesInRow = 0,
        ejectionsInRow = ejectionsInRow + 1,
        returnsAt = now + FIRST_EJECTION * factor,
    )
}

private fun RoutingState.mayEject(candidate: UpstreamState, now: Duration): Boolean =
    candidate.pools.all { key ->
        val pool = pools.getValue(key)
        val out = (0 until pool.size).count { upstreams.getValue(pool[it]).isEjected(now) }
        out < ceil(pool.size * MAX_EJECTED_SHARE)
    }
