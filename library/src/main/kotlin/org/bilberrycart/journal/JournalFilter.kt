package org.bilberrycart.journal

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.AttemptOutcome
import org.bilberrycart.model.LossCause
import org.bilberrycart.model.ResultCode
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then

/**
 * Keeps the tokens of each generation in order and decides when and how a generation resumes.
 *
 * A token is accepted only from an active attempt and only at exactly the next index; all others
 * are counted and dropped. After a loss, as many new attempts as the [ResumePolicy] specifies run
 * concurrently; the first one whose token is accepted becomes the current attempt, and the others
 * are cancelled.
 */
public class JournalFilter : Filter<JournalState, JournalEvent, JournalAction> {
    override fun step(
        state: JournalState,
        event: JournalEvent,
        now: Duration,
    ): Step<JournalState, JournalAction> = when (event) {
        is JournalEvent.Opened -> open(state, event, now)
        is JournalEvent.Adopted -> adopt(state, event, now)
        is JournalEvent.OwnershipLost -> ownershipLost(state, event)
        is JournalEvent.Placed -> placed(state, event, now)
        is JournalEvent.Accepted -> accepted(state, event, now)
        is JournalEvent.Unplaceable -> unplaceable(state, event)
        is JournalEvent.TokenArrived -> tokenArrived(state, event, now)
        is JournalEvent.AttemptFinished -> finished(state, event, now)
        is JournalEvent.AttemptLost -> lost(state, event.attempt, event.cause, now)
        is JournalEvent.ProbeEnded -> probeEnded(state, event, now)
        is JournalEvent.Stop -> stop(state, event)
        is JournalEvent.UpstreamGone -> upstreamGone(state, event.upstream, now)
        JournalEvent.Tick -> tick(state, now)
    }

    private fun open(state: JournalState, event: JournalEvent.Opened, now: Duration): JournalStep {
        val request = event.generation
        if (request.id in state.generations) return Step(state)
        val first = ActiveAttempt(AttemptId(request.id, epoch = 1, number = 1), lastActiveAt = now)
        val generation = Generation(
            request = request,
            epoch = 1,
            policy = event.policy,
            activeAttempts = persistentListOf(first),
            attempts = 1,
        )
        return Step(
            state.put(generation),
            persistentListOf(JournalAction.Begin(request, generation.epoch)),
        )
    }

    private fun adopt(
        state: JournalState,
        event: JournalEvent.Adopted,
        now: Duration,
    ): JournalStep {
        val known = state.generations[event.generation.id]
        if (known != null && known.epoch >= event.epoch) return Step(state)
        val generation = Generation(
            request = event.generation,
            epoch = event.epoch,
            policy = event.policy,
            tokens = event.tokens,
            interruptedAt = now,
        )
        val begun = Step<JournalState, JournalAction>(
            state,
            persistentListOf(JournalAction.Begin(event.generation, event.epoch)),
        )
        return begun.then { resume(it, generation, now) }
    }

    private fun ownershipLost(
        state: JournalState,
        event: JournalEvent.OwnershipLost,
    ): JournalStep {
        val generation = state.generations[event.request]
        if (generation == null || generation.epoch > event.epoch) return Step(state)
        val detached = generation.activeAttempts.flatMap(::detach)
        return Step(state.remove(event.request), detached.toPersistentList())
    }

    private fun placed(
        state: JournalState,
        event: JournalEvent.Placed,
        now: Duration,
    ): JournalStep {
        val generation = state.generations[event.attempt.request]
        val activeAttempt = generation?.activeAttempt(event.attempt)
        if (generation == null || activeAttempt == null) {
            return Step(state, cancel(event.attempt, event.upstream))
        }
        val placed = activeAttempt.copy(upstream = event.upstream, lastActiveAt = now)
        return Step(state.put(generation.replace(placed)))
    }

    private fun accepted(
        state: JournalState,
        event: JournalEvent.Accepted,
        now: Duration,
    ): JournalStep {
        val generation = state.generations[event.attempt.request] ?: return Step(state)
        val activeAttempt = generation.activeAttempt(event.attempt) ?: return Step(state)
        return Step(state.put(generation.replace(activeAttempt.accepted(now))))
    }

    private fun unplaceable(state: JournalState, event: JournalEvent.Unplaceable): JournalStep {
        val generation = state.generations[event.attempt.request] ?: return Step(state)
        generation.activeAttempt(event.attempt) ?: return Step(state)
        val remaining = generation.remove(event.attempt)
        if (remaining.activeAttempts.isNotEmpty()) return Step(state.put(remaining))
        return complete(state, remaining, AnswerPart.Failed(event.code))
    }

    private fun tokenArrived(
        state: JournalState,
        event: JournalEvent.TokenArrived,
        now: Duration,
    ): JournalStep {
        val generation = state.generations[event.attempt.request]
        val activeAttempt = generation?.activeAttempt(event.attempt)
        if (
            generation == null ||
            activeAttempt == null ||
            event.token.index < generation.nextIndex
        ) {
            return Step(state, countStray(event))
        }
        if (event.token.index > generation.nextIndex) {
            return Step(state, countStray(event)).then {
                lost(it, event.attempt, LossCause.PROTOCOL, now)
            }
        }
        return accept(state, generation, activeAttempt, event, now)
    }

    private fun accept(
        state: JournalState,
        generation: Generation,
        activeAttempt: ActiveAttempt,
        event: JournalEvent.TokenArrived,
        now: Duration,
    ): JournalStep {
        val otherAttempts = generation.activeAttempts.remove(activeAttempt)
        val latency = generation.interruptedAt?.let { now - it }
        val next = generation.copy(
            tokens = generation.tokens.add(event.token),
            activeAttempts = persistentListOf(activeAttempt.withToken(now)),
            gapEstimate = updatedGapEstimate(generation, activeAttempt, now),
            lastTokenAt = now,
            interruptedAt = null,
        )
        val request = generation.request.id
        val resumed = latency?.let { listOf(JournalAction.CountResume(request, it)) }.orEmpty()
        val append = JournalAction.Append(request, generation.epoch, event.token)
        val actions = persistentListOf<JournalAction>(append)
            .addAll(otherAttempts.flatMap(::cancel))
            .addAll(resumed)
        return Step(state.put(next), actions)
    }

    private fun updatedGapEstimate(
        generation: Generation,
        activeAttempt: ActiveAttempt,
        now: Duration,
    ): GapEstimate? {
        if (!activeAttempt.hasToken) return generation.gapEstimate
        val gap = now - activeAttempt.lastActiveAt
        return generation.gapEstimate?.observe(gap) ?: GapEstimate.first(gap)
    }

    private fun finished(
        state: JournalState,
        event: JournalEvent.AttemptFinished,
        now: Duration,
    ): JournalStep {
        val generation = state.generations[event.attempt.request] ?: return Step(state)
        val activeAttempt = generation.activeAttempt(event.attempt) ?: return Step(state)
        if (event.tokenCount != generation.nextIndex) {
            return lost(state, event.attempt, LossCause.PROTOCOL, now)
        }
        val report = report(activeAttempt, AttemptOutcome.Completed)
        val end = AnswerPart.Finished(event.reason, event.tokenCount)
        return Step(state, report).then {
            complete(it, generation.remove(event.attempt), end)
        }
    }

    private fun stop(state: JournalState, event: JournalEvent.Stop): JournalStep {
        val generation = state.generations[event.request] ?: return Step(state)
        return complete(state, generation, AnswerPart.Failed(event.code))
    }

    private fun tick(state: JournalState, now: Duration): JournalStep =
        state.generations.values.fold(JournalStep(state)) { step, generation ->
            if (now >= generation.request.deadline) {
                val end = AnswerPart.Failed(ResultCode.DEADLINE_EXCEEDED)
                step.then { complete(it, generation, end) }
            } else {
                probeSilentAttempts(step, generation, now)
            }
        }

    private fun countStray(event: JournalEvent.TokenArrived): PersistentList<JournalAction> =
        persistentListOf(JournalAction.CountStray(event.attempt, event.token.index))
}
