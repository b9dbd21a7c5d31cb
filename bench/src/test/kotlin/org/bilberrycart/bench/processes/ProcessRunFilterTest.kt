package org.bilberrycart.bench.processes

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import org.bilberrycart.bench.traffic.AnswerProgress
import org.bilberrycart.standins.engine.TokenSource

private const val MAX_TOKENS = 8
private val start = AnswerProgress(TokenSource("p", "m"), MAX_TOKENS)
private val length = start.source.length(MAX_TOKENS)

private fun tokens(indexes: Iterable<Int>): AnswerProgress =
    indexes.fold(start) { progress, index ->
        progress.withToken(index, progress.source.token(index))
    }

private fun run(vararg events: ProcessRunEvent): ProcessRunState =
    events.fold(ProcessRunState()) { state, event ->
        ProcessRunFilter.step(state, event, Duration.ZERO).state
    }

private data class AnswerCase(
    val case: String,
    val progress: AnswerProgress,
    val code: Int = ProcessRunFilter.WHOLE,
    val whole: Long = 0,
    val refused: Map<Int, Int> = emptyMap(),
    val violations: Int = 0,
) : WithDataTestName {
    override fun dataTestName(): String = case
}

private data class ActionCase(
    val case: String,
    val attempts: List<ActionAttempt>,
    val executions: Int,
    val violations: Int,
) : WithDataTestName {
    override fun dataTestName(): String = case
}

private val own = ActionAttempt.Answered(isOwn = true)
private val foreign = ActionAttempt.Answered(isOwn = false)
private val notRun = ActionAttempt.Refused(code = 4_001)
private val storeDown = ActionAttempt.Refused(code = 4_006)
private val unknown = ActionAttempt.Refused(code = 4_002)
private val none = ActionAttempt.Unanswered

class ProcessRunFilterTest :
    FunSpec({
        context("an answer is checked if") {
            withData(
                AnswerCase("it is complete", tokens(0 until length).withEnd(), whole = 1),
                AnswerCase("it ends early", tokens(0 until 1).withEnd(), violations = 1),
                AnswerCase("a token is repeated", tokens(listOf(0, 0)), 3_005, violations = 1),
                AnswerCase("a token is missing", tokens(listOf(0, 2)), 3_005, violations = 1),
                AnswerCase("it is refused", tokens(0 until 1), 3_005, refused = mapOf(3_005 to 1)),
                AnswerCase(
                    "no node returns a result",
                    tokens(0 until 1),
                    ProcessRunFilter.NO_RESULT,
                    violations = 1,
                ),
            ) { case ->
                val state = run(ProcessRunEvent.AnswerEnded(1, case.progress, case.code))
                state.whole shouldBe case.whole
                state.refused.toMap() shouldBe case.refused
                state.violations.size shouldBe case.violations
            }
        }

        context("an action is checked if") {
            withData(
                ActionCase("it ran once", listOf(own), executions = 1, violations = 0),
                ActionCase("its retry returns the answer", listOf(none, own), 1, violations = 0),
                ActionCase("it ran twice", listOf(none, own), executions = 2, violations = 1),
                ActionCase("the answer is another action's", listOf(foreign), 1, violations = 1),
                ActionCase("it is answered but never ran", listOf(own), 0, violations = 1),
                ActionCase("4001 is true", listOf(notRun), executions = 0, violations = 0),
                ActionCase("4001 is false", listOf(notRun), executions = 1, violations = 1),
                ActionCase(
                    "4001 is false after no answer",
                    listOf(none, notRun),
                    1,
                    violations = 1,
                ),
                ActionCase("4006 wrongly says not run", listOf(storeDown), 1, violations = 1),
                ActionCase(
                    "it ran unanswered, then 4006",
                    listOf(none, storeDown),
                    1,
                    violations = 0,
                ),
                ActionCase("its outcome is unknown", listOf(none, unknown), 1, violations = 0),
                ActionCase("no attempt is answered", listOf(none, none), 0, violations = 1),
            ) { case ->
                val state = run(
                    ProcessRunEvent.ActionEnded("k", case.attempts),
                    ProcessRunEvent.Executed("k", case.executions),
                    ProcessRunEvent.RunEnded,
                )
                state.violations.size shouldBe case.violations
            }
        }
    })
