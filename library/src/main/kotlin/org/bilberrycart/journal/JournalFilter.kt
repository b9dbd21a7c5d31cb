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
 * Keeps the tokens of each generation in order and decides when and how it resumes.
 *
 * A token enters only from the current attempt and only at exactly the next index; all others are
 * counted and dropped. After a loss the attempts of the [ResumePolicy] race, and the first one
 * whose token is accepted becomes the current attempt.
 */
public class JournalFilter : Filter<JournalState, JournalEvent, JournalAction> {
    override fun step(
        state: JournalState,
        event: JournalEvent,
        now: Duration,
    ): Step<JournalState, JournalAction> = when (event) {
        is JournalEvent.Opened -> open(state, event, now)
        is JournalEvent.Adopted -> adopt(state, event, now)
        is JournalEvent.Disowned -> disowned(state, event)
        is JournalEvent.Placed -> placed(state, event, now)
        is JournalEvent.Accepted -> accepted(state, event, now)
        is JournalEvent.Unplaceable -> unplaceable(state, event)
        is JournalEvent.TokenArrived -> token(state, event, now)
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
        val first = Contender(AttemptId(request.id, epoch = 1, number = 1), activeAt = now)
        val generation = Generation(
            request = request,
            epoch = 1,
            policy = event.policy,
            contenders = persistentListOf(first),
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

    private fun disowned(state: JournalState, event: JournalEvent.Disowned): JournalStep {
        val generation = state.generations[event.request]
        if (generation == null || generation.epoch > event.epoch) return Step(state)
        val detached = generation.contenders.flatMap(::detach)
        return Step(state.remove(event.request), detached.toPersistentList())
    }

    private fun placed(
        state: JournalState,
        event: JournalEvent.Placed,
        now: Duration,
    ): JournalStep {
        val generation = state.generations[event.attempt.request]
        val contender = generation?.contender(event.attempt)
        if (generation == null || contender == null) {
            return Step(state, cancel(event.attempt, event.upstream))
        }
        val placed = contender.copy(upstream = event.upstream, activeAt = now)
        return Step(state.put(generation.replace(placed)))
    }

    private fun accepted(
        state: JournalState,
        event: JournalEvent.Accepted,
        now: Duration,
    ): JournalStep {
        val generation = state.generations[event.attempt.request] ?: return Step(state)
        val contender = generation.contender(event.attempt) ?: return Step(state)
        return Step(state.put(generation.replace(contender.accepted(now))))
    }

    private fun unplaceable(state: JournalState, event: JournalEvent.Unplaceable): JournalStep {
        val generation = state.generations[event.attempt.request] ?: return Step(state)
        generation.contender(event.attempt) ?: return Step(state)
        val rest = generation.remove(event.attempt)
        if (rest.contenders.isNotEmpty()) return Step(state.put(rest))
        return complete(state, rest, AnswerPart.Failed(event.code))
    }

    private fun token(
        state: JournalState,
        event: JournalEvent.TokenArrived,
        now: Duration,
    ): JournalStep {
        val generation = state.generations[event.attempt.request]
        val contender = generation?.contender(event.attempt)
        if (generation == null || contender == null || event.token.index < generation.nextIndex) {
            return Step(state, stray(event))
        }
        if (event.token.index > generation.nextIndex) {
            return Step(state, stray(event)).then {
                lost(it, event.attempt, LossCause.PROTOCOL, now)
            }
        }
        return accept(state, generation, contender, event, now)
    }

    private fun accept(
        state: JournalState,
        generation: Generation,
        contender: Contender,
        event: JournalEvent.TokenArrived,
        now: Duration,
    ): JournalStep {
        val losers = generation.contenders.remove(contender)
        val latency = generation.interruptedAt?.let { now - it }
        val next = generation.copy(
            tokens = generation.tokens.add(event.token),
            contenders = persistentListOf(contender.active(now)),
            gap = observedGap(generation, contender, now),
            lastTokenAt = now,
            interruptedAt = null,
        )
        val request = generation.request.id
        val resumed = latency?.let { listOf(JournalAction.CountResume(request, it)) }.orEmpty()
        val append = JournalAction.Append(request, generation.epoch, event.token)
        val actions = persistentListOf<JournalAction>(append)
            .addAll(losers.flatMap(::cancel))
            .addAll(resumed)
        return Step(state.put(next), actions)
    }

    private fun observedGap(
        generation: Generation,
        contender: Contender,
        now: Duration,
    ): GapEstimate? {
        if (!contender.hasToken) return generation.gap
        val gap = now - contender.activeAt
        return generation.gap?.observe(gap) ?: GapEstimate.first(gap)
    }

    private fun finished(
        state: JournalState,
        event: JournalEvent.AttemptFinished,
        now: Duration,
    ): JournalStep {
        val generation = state.generations[event.attempt.request] ?: return Step(state)
        val contender = generation.contender(event.attempt) ?: return Step(state)
        if (event.tokenCount != generation.nextIndex) {
            return lost(state, event.attempt, LossCause.PROTOCOL, now)
        }
        val report = report(contender, AttemptOutcome.Completed)
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
                probeSilent(step, generation, now)
            }
        }

    private fun stray(event: JournalEvent.TokenArrived): PersistentList<JournalAction> =
        persistentListOf(JournalAction.CountStray(event.attempt, event.token.index))
}
