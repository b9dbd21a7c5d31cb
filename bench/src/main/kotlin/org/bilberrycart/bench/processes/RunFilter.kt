package org.bilberrycart.bench.processes

import kotlin.time.Duration
import org.bilberrycart.model.ResultCode
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step

/** Counts what a run saw and judges it by the promises to callers. */
object RunFilter : Filter<RunState, RunEvent, Nothing> {
    /** The code of an answer that came to its end. */
    const val WHOLE: Int = 0

    /** The code of an answer for which no node had a numbered result. */
    const val NO_RESULT: Int = -1

    private val neverRan = setOf(ResultCode.NOT_RUN, ResultCode.STORE_UNAVAILABLE)
        .map { it.number }.toSet()
    private val refusedBeforeWork = 1_000..2_999

    override fun step(state: RunState, event: RunEvent, now: Duration): Step<RunState, Nothing> =
        Step(
            when (event) {
                is RunEvent.Requested -> if (event.isAction) {
                    state.copy(actions = state.actions + 1)
                } else {
                    state.copy(requests = state.requests + 1)
                }
                RunEvent.Reconnected -> state.copy(reconnects = state.reconnects + 1)
                is RunEvent.Faulted -> state.copy(
                    faults = state.faults.put(event.fault, (state.faults[event.fault] ?: 0) + 1),
                )
                is RunEvent.ResumedAfterDeath ->
                    state.copy(resumeWaits = state.resumeWaits.add(event.wait))
                is RunEvent.AnswerOver -> answerOver(state, event)
                is RunEvent.ActionOver -> actionOver(state, event)
                is RunEvent.CheckOver -> ended(state, event.key, event.attempt)
                is RunEvent.Executed -> state.copy(
                    executions = state.executions.put(
                        event.key,
                        (state.executions[event.key] ?: 0) + event.count,
                    ),
                )
                RunEvent.Ended -> judgeActions(state)
            },
        )

    private fun answerOver(state: RunState, event: RunEvent.AnswerOver): RunState {
        val progress = event.progress
        val counted = state.copy(tokens = state.tokens + progress.nextIndex)
        val name = "request ${event.number}"
        return when {
            progress.violations > 0 -> counted.violated(
                "$name: missing ${progress.missing}, repeated ${progress.repeated}, " +
                    "foreign ${progress.foreign}",
            )
            event.code == WHOLE && progress.isWhole -> counted.copy(whole = counted.whole + 1)
            event.code == WHOLE -> counted.violated("$name: ended without being whole")
            event.code == NO_RESULT ->
                counted.violated("$name: no result after ${progress.nextIndex} tokens")
            else -> counted.refused(event.code)
        }
    }

    private fun actionOver(state: RunState, event: RunEvent.ActionOver): RunState = ended(
        state.copy(histories = state.histories.put(event.key, event.attempts)),
        event.key,
        event.attempts.last(),
    )

    private fun ended(state: RunState, key: String, last: ActionAttempt): RunState = when (last) {
        is ActionAttempt.Answered -> if (last.isOwn) {
            state.copy(whole = state.whole + 1)
        } else {
            state.violated("call $key: the answer is not its own")
        }
        is ActionAttempt.Refused -> state.refused(last.code)
        ActionAttempt.Unanswered -> state.violated("call $key: no result")
    }

    private fun judgeActions(state: RunState): RunState {
        val more = state.executions.filterValues { it > 1 }
            .map { (key, count) -> "action $key: executed $count times" }
        val false4001 = state.histories.mapNotNull { (key, attempts) ->
            judge(key, attempts, state.executions[key] ?: 0)
        }
        return state.copy(violations = state.violations.addAll(more + false4001))
    }

    private fun judge(key: String, attempts: List<ActionAttempt>, executions: Int): String? = when {
        ActionAttempt.Refused(ResultCode.NOT_RUN.number) in attempts && executions > 0 ->
            "action $key: answered 4001 and executed: $attempts"
        attempts.all(::isNotRun) && executions > 0 ->
            "action $key: every answer says not run, but executed: $attempts"
        attempts.any { it is ActionAttempt.Answered } && executions == 0 ->
            "action $key: answered but never executed: $attempts"
        else -> null
    }

    private fun isNotRun(attempt: ActionAttempt): Boolean = attempt is ActionAttempt.Refused &&
        (attempt.code in neverRan || attempt.code in refusedBeforeWork)

    private fun RunState.violated(what: String): RunState = copy(violations = violations.add(what))

    private fun RunState.refused(code: Int): RunState =
        copy(refused = refused.put(code, (refused[code] ?: 0) + 1))
}
