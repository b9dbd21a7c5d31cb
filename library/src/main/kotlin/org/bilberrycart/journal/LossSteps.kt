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

internal fun lost(
    state: JournalState,
    attempt: AttemptId,
    cause: LossCause,
    now: Duration,
): JournalStep {
    val generation = state.generations[attempt.request] ?: return Step(state)
    val contender = generation.contender(attempt) ?: return Step(state)
    val upstream = contender.upstream
    val rest = generation.remove(attempt).copy(
        losses = generation.losses + 1,
        avoid = if (upstream == null) generation.avoid else generation.avoid.add(upstream),
        interruptedAt = generation.interruptedAt ?: generation.lastTokenAt,
    )
    val actions = persistentListOf<JournalAction>(JournalAction.CancelAttempt(attempt))
        .addAll(report(contender, AttemptOutcome.Lost(cause)))
        .add(JournalAction.CountLoss(attempt, cause))
    return Step(state, actions).then { afterLoss(it, rest, now) }
}

internal fun afterLoss(state: JournalState, rest: Generation, now: Duration): JournalStep = when {
    rest.contenders.isNotEmpty() -> Step(state.put(rest))
    rest.losses >= rest.policy.maxLosses ->
        complete(state, rest, AnswerPart.Failed(ResultCode.RETRIES_EXHAUSTED))
    else -> resume(state, rest, now)
}

internal fun resume(state: JournalState, generation: Generation, now: Duration): JournalStep {
    val count = when (val policy = generation.policy.resume) {
        ResumePolicy.Elsewhere -> 1
        is ResumePolicy.Hedged -> policy.engines
    }
    val fresh = List(count) { offset ->
        val number = generation.attempts + 1 + offset
        Contender(
            attempt = AttemptId(generation.request.id, generation.epoch, number),
            activeAt = now,
        )
    }
    val next = generation.copy(
        contenders = fresh.toPersistentList(),
        attempts = generation.attempts + count,
    )
    val actions = fresh.map { JournalAction.Resume(next.placement(it.attempt)) }
    return Step(state.put(next), actions.toPersistentList())
}

internal fun probeEnded(
    state: JournalState,
    event: JournalEvent.ProbeEnded,
    now: Duration,
): JournalStep {
    val generation = state.generations[event.attempt.request] ?: return Step(state)
    val contender = generation.contender(event.attempt)
    if (contender?.probedAt == null) return Step(state)
    if (!event.isAlive || contender.reattachments >= MAX_REATTACHMENTS) {
        return lost(state, event.attempt, LossCause.SILENT, now)
    }
    return Step(
        state.put(generation.replace(contender.reattached(now))),
        persistentListOf(JournalAction.Reattach(event.attempt, generation.nextIndex)),
    )
}

internal fun upstreamGone(state: JournalState, upstream: UpstreamId, now: Duration): JournalStep =
    state.generations.values
        .flatMap { generation -> generation.contenders.filter { it.upstream == upstream } }
        .fold(JournalStep(state)) { step, contender ->
            step.then { lost(it, contender.attempt, LossCause.GONE, now) }
        }

internal fun probeSilent(step: JournalStep, generation: Generation, now: Duration): JournalStep {
    val silent = generation.contenders.filter { contender ->
        contender.upstream != null &&
            contender.probedAt == null &&
            now - contender.activeAt >= generation.silenceLimit(contender)
    }
    if (silent.isEmpty()) return step
    val probed = silent.fold(generation) { next, contender ->
        next.replace(contender.copy(probedAt = now))
    }
    val probes = silent.map { JournalAction.Probe(it.attempt) }
    return Step(step.state.put(probed), step.actions.addAll(probes))
}
