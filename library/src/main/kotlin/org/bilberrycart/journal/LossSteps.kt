package org.bilberrycart.journal

import kotlin.time.Duration
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.AttemptOutcome
import org.bilberrycart.model.LossCause
import org.bilberrycart.model.ResultCode
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then

private const val MAX_REATTACHMENTS = 3

/** Removes the lost [attempt], counts the loss with its [cause] and resumes the generation. */
internal fun lost(
    state: JournalState,
    attempt: AttemptId,
    cause: LossCause,
    now: Duration,
): JournalStep {
    val generation = state.generations[attempt.request] ?: return Step(state)
    val activeAttempt = generation.activeAttempt(attempt) ?: return Step(state)
    val upstream = activeAttempt.upstream
    val remaining = generation.remove(attempt).copy(
        losses = generation.losses + 1,
        avoid = if (upstream == null) generation.avoid else generation.avoid.add(upstream),
        interruptedAt = generation.interruptedAt ?: generation.lastTokenAt,
    )
    val actions = persistentListOf<JournalAction>(JournalAction.CancelAttempt(attempt))
        .addAll(report(activeAttempt, AttemptOutcome.Lost(cause)))
        .add(JournalAction.CountLoss(attempt, cause))
    return Step(state, actions).then { afterLoss(it, remaining, now) }
}

/**
 * Decides how a generation continues after a loss: with the active attempts that remain, with new
 * attempts, or with a failure if [GenerationPolicy.maxLosses] is reached.
 */
internal fun afterLoss(state: JournalState, remaining: Generation, now: Duration): JournalStep =
    when {
        remaining.activeAttempts.isNotEmpty() -> Step(state.put(remaining))
        remaining.losses >= remaining.policy.maxLosses ->
            complete(state, remaining, AnswerPart.Failed(ResultCode.RETRIES_EXHAUSTED))
        else -> resume(state, remaining, now)
    }

/** Starts as many new attempts of [generation] as its [ResumePolicy] specifies. */
internal fun resume(state: JournalState, generation: Generation, now: Duration): JournalStep {
    val count = when (val policy = generation.policy.resume) {
        ResumePolicy.SingleEngine -> 1
        is ResumePolicy.Hedged -> policy.engines
    }
    val newAttempts = List(count) { offset ->
        val number = generation.attempts + 1 + offset
        ActiveAttempt(
            attempt = AttemptId(generation.request.id, generation.epoch, number),
            lastActiveAt = now,
        )
    }
    val next = generation.copy(
        activeAttempts = newAttempts.toPersistentList(),
        attempts = generation.attempts + count,
    )
    val actions = newAttempts.map { JournalAction.Resume(next.placement(it.attempt)) }
    return Step(state.put(next), actions.toPersistentList())
}

/**
 * Reopens the stream of an attempt whose upstream responded to the probe.
 *
 * The attempt is lost if the upstream did not respond, or if the stream was already reopened
 * [MAX_REATTACHMENTS] times without a token.
 */
internal fun probeEnded(
    state: JournalState,
    event: JournalEvent.ProbeEnded,
    now: Duration,
): JournalStep {
    val generation = state.generations[event.attempt.request] ?: return Step(state)
    val activeAttempt = generation.activeAttempt(event.attempt)
    if (activeAttempt?.probedAt == null) return Step(state)
    if (!event.isAlive || activeAttempt.reattachments >= MAX_REATTACHMENTS) {
        return lost(state, event.attempt, LossCause.SILENT, now)
    }
    return Step(
        state.put(generation.replace(activeAttempt.reattached(now))),
        persistentListOf(JournalAction.Reattach(event.attempt, generation.nextIndex)),
    )
}

/** Loses every active attempt on [upstream]. */
internal fun upstreamGone(state: JournalState, upstream: UpstreamId, now: Duration): JournalStep =
    state.generations.values
        .flatMap { generation -> generation.activeAttempts.filter { it.upstream == upstream } }
        .fold(JournalStep(state)) { step, activeAttempt ->
            step.then { lost(it, activeAttempt.attempt, LossCause.GONE, now) }
        }

/** Probes the upstreams of the attempts that have exceeded their silence limit. */
internal fun probeSilentAttempts(
    step: JournalStep,
    generation: Generation,
    now: Duration,
): JournalStep {
    val silent = generation.activeAttempts.filter { activeAttempt ->
        activeAttempt.upstream != null &&
            activeAttempt.probedAt == null &&
            now - activeAttempt.lastActiveAt >= generation.silenceLimit(activeAttempt)
    }
    if (silent.isEmpty()) return step
    val probed = silent.fold(generation) { next, activeAttempt ->
        next.replace(activeAttempt.copy(probedAt = now))
    }
    val probes = silent.map { JournalAction.Probe(it.attempt) }
    return Step(step.state.put(probed), step.actions.addAll(probes))
}
