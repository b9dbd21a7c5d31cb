package org.bilberrycart.bench.processes

import kotlin.time.Duration
import org.bilberrycart.model.ResultCode
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step

/** Counts the observations of a run and checks them against the guarantees given to callers. */
object ProcessRunFilter : Filter<ProcessRunState, ProcessRunEvent, Nothing> {
    /** The code of an answer that reached its end. */
    const val WHOLE: Int = 0

    /** The code of an answer for which no node returned a result code. */
    const val NO_RESULT: Int = -1

    /** The codes that say that the action was not executed. */
    private val notRunCodes = setOf(ResultCode.NOT_RUN, ResultCode.STORE_UNAVAILABLE)
        .map { it.number }.toSet()

    /** The codes of requests that a node refuses before it calls the service. */
    private val refusedBeforeCallCodes = 1_000..2_999

    override fun step(
        state: ProcessRunState,
        event: ProcessRunEvent,
        now: Duration,
    ): Step<ProcessRunState, Nothing> = Step(
        when (event) {
            is ProcessRunEvent.Requested -> if (event.isAction) {
                state.copy(actions = state.actions + 1)
            } else {
                state.copy(requests = state.requests + 1)
            }
            ProcessRunEvent.Reconnected -> state.copy(reconnects = state.reconnects + 1)
            is ProcessRunEvent.FaultBegun -> state.copy(
                faults = state.faults.put(event.fault, (state.faults[event.fault] ?: 0) + 1),
            )
            is ProcessRunEvent.ResumedAfterKill ->
                state.copy(resumeTimes = state.resumeTimes.add(event.wait))
            is ProcessRunEvent.AnswerEnded -> answerEnded(state, event)
            is ProcessRunEvent.ActionEnded -> actionEnded(state, event)
            is ProcessRunEvent.CheckEnded -> callEnded(state, event.key, event.attempt)
            is ProcessRunEvent.Executed -> state.copy(
                executions = state.executions.put(
                    event.key,
                    (state.executions[event.key] ?: 0) + event.count,
                ),
            )
            ProcessRunEvent.RunEnded -> checkActions(state)
        },
    )

    private fun answerEnded(
        state: ProcessRunState,
        event: ProcessRunEvent.AnswerEnded,
    ): ProcessRunState {
        val progress = event.progress
        val counted = state.copy(tokens = state.tokens + progress.nextIndex)
        val name = "request ${event.number}"
        return when {
            progress.violations > 0 -> counted.withViolation(
                "$name: missing ${progress.missing}, repeated ${progress.repeated}, " +
                    "foreign ${progress.foreign}",
            )
            event.code == WHOLE && progress.isWhole -> counted.copy(whole = counted.whole + 1)
            event.code == WHOLE -> counted.withViolation("$name: ended without being whole")
            event.code == NO_RESULT ->
                counted.withViolation("$name: no result after ${progress.nextIndex} tokens")
            else -> counted.withRefusal(event.code)
        }
    }

    private fun actionEnded(
        state: ProcessRunState,
        event: ProcessRunEvent.ActionEnded,
    ): ProcessRunState = callEnded(
        state.copy(histories = state.histories.put(event.key, event.attempts)),
        event.key,
        event.attempts.last(),
    )

    private fun callEnded(
        state: ProcessRunState,
        key: String,
        last: ActionAttempt,
    ): ProcessRunState = when (last) {
        is ActionAttempt.Answered -> if (last.isOwn) {
            state.copy(whole = state.whole + 1)
        } else {
            state.withViolation("call $key: the answer is not its own")
        }
        is ActionAttempt.Refused -> state.withRefusal(last.code)
        ActionAttempt.Unanswered -> state.withViolation("call $key: no result")
    }

    private fun checkActions(state: ProcessRunState): ProcessRunState {
        val repeatedExecutions = state.executions.filterValues { it > 1 }
            .map { (key, count) -> "action $key: executed $count times" }
        val contradictions = state.histories.mapNotNull { (key, attempts) ->
            violationOf(key, attempts, state.executions[key] ?: 0)
        }
        return state.copy(violations = state.violations.addAll(repeatedExecutions + contradictions))
    }

    private fun violationOf(key: String, attempts: List<ActionAttempt>, executions: Int): String? =
        when {
            ActionAttempt.Refused(ResultCode.NOT_RUN.number) in attempts && executions > 0 ->
                "action $key: answered 4001 and executed: $attempts"
            attempts.all(::isNotRun) && executions > 0 ->
                "action $key: every answer says not run, but executed: $attempts"
            attempts.any { it is ActionAttempt.Answered } && executions == 0 ->
                "action $key: answered but never executed: $attempts"
            else -> null
        }

    private fun isNotRun(attempt: ActionAttempt): Boolean = attempt is ActionAttempt.Refused &&
        (attempt.code in notRunCodes || attempt.code in refusedBeforeCallCodes)

    private fun ProcessRunState.withViolation(text: String): ProcessRunState =
        copy(violations = violations.add(text))

    private fun ProcessRunState.withRefusal(code: Int): ProcessRunState =
        copy(refused = refused.put(code, (refused[code] ?: 0) + 1))
}
