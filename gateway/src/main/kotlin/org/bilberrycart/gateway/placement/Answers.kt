package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.gateway.model.AttemptKey
import org.bilberrycart.gateway.model.UpstreamAnswer
import org.bilberrycart.gateway.model.UpstreamId
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then

/** What follows from a whole answer of an upstream. */
internal class Answers(private val losses: Losses) {
    fun answered(
        state: PlacementState,
        key: AttemptKey,
        answer: UpstreamAnswer,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val call = state.calls[key.call] ?: return Step(state)
        val attempt = call.attempts[key.number] ?: return Step(state)
        val head = answer.head
        val isForeign = head.requestId != null && head.requestId != call.call.head.requestId
        return when {
            isForeign -> losses.broken(state, key, "answer to another call", now)
            head.isMisdirected -> misdirected(state, call, attempt, head.upstream, now)
            head.didNotRun -> notRun(state, call, attempt, head.status, now)
            call.isOpen -> losses.broken(state, key, "status ${head.status} for a resume", now)
            head.isSuccess && head.isSigned ->
                Ending.deliver(heard(state, call, attempt, now), call, answer, attempt.number)
            head.isSuccess || !head.isSigned -> losses.broken(state, key, "unsigned answer", now)
            head.status >= FIRST_SERVER_ERROR && call.call.route.repeat.mayRunAgain ->
                retry(heard(state, call, attempt, now), call, attempt, answer, now)
            else -> Ending.deliver(heard(state, call, attempt, now), call, answer, attempt.number)
        }
    }

    private fun heard(
        state: PlacementState,
        call: CallState,
        attempt: Attempt,
        now: Duration,
    ): PlacementState = state.answered(call, now).update(attempt.upstream) { it.heard(now) }

    private fun misdirected(
        state: PlacementState,
        call: CallState,
        attempt: Attempt,
        present: UpstreamId?,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val next = state.update(attempt.upstream) { it.copy(isReplaced = true) }
        val belief = PlacementAction.Believe(attempt.upstream, "replaced", "by ${present?.value}")
        val question = state.upstreams[attempt.upstream]
            ?.takeIf { !it.isReplaced && present != null && state.isNew(present) }
            ?.let { PlacementAction.Identify(it.entry, present!!) }
        return Step(next, listOfNotNull<PlacementAction>(belief, question).toPersistentList())
            .then { elsewhere(it, call, attempt, now, "misdirected") }
    }

    /** A run that could not go on from its copy says nothing against the upstream. */
    private fun notRun(
        state: PlacementState,
        call: CallState,
        attempt: Attempt,
        status: Int,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val next = state.update(attempt.upstream) { it.heard(now).failed(now) }
        return elsewhere(next, call, attempt, now, "upstream says not run, status $status")
    }

    private fun elsewhere(
        state: PlacementState,
        call: CallState,
        attempt: Attempt,
        now: Duration,
        why: String,
    ): Step<PlacementState, PlacementAction> {
        val left = call.copy(
            attempts = call.attempts.remove(attempt.number),
            runs = call.runs - 1,
        )
        return losses.again(state.counted(attempt, -1), left, now, why)
    }

    private fun retry(
        state: PlacementState,
        call: CallState,
        attempt: Attempt,
        answer: UpstreamAnswer,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val left = call.copy(
            attempts = call.attempts.remove(attempt.number),
            failure = answer,
        )
        val next = state.update(attempt.upstream) { it.failed(now) }.counted(attempt, -1)
        return losses.again(next, left, now, "status ${answer.head.status}")
    }

    private companion object {
        const val FIRST_SERVER_ERROR = 500
    }
}
