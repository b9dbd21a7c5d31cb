package org.bilberrycart.bench.actions

import org.bilberrycart.idempotency.RecordKey
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.IdempotencyKey
import org.bilberrycart.model.RepeatMode
import org.bilberrycart.model.ResultCode
import org.bilberrycart.model.ServiceCall

/** Checks the history of a finished run against the promises to callers. */
internal class HistoryCheck(private val world: SoakWorld) {
    /** Returns one line for each broken promise. */
    fun violations(): List<String> =
        repeatedExecutions() + runAfterNotRun() + strangeAnswers() + repeatedAnswers() +
            missingAnswers()

    private fun repeatedExecutions(): List<String> = world.executions
        .filter { callOf(it).repeatMode != RepeatMode.IDEMPOTENT }
        .groupBy { it.key }
        .filter { (_, runs) -> runs.size > 1 }
        .map { (key, runs) -> "key $key ran ${runs.size} times: ${runs.map { it.attempt }}" }

    private fun runAfterNotRun(): List<String> {
        val refused = world.answers.filter { isRefusal(it.part) }.map { it.request }.toSet()
        return world.executions
            .filter { it.attempt.request in refused }
            .map { "${it.attempt} ran, but its caller was told that it did not" }
    }

    private fun strangeAnswers(): List<String> = world.answers.mapNotNull { answer ->
        val reply = answer.part as? AnswerPart.Reply
        val expected = bodyOf(keyOf(checkNotNull(world.calls[answer.request])))
        when {
            reply == null || reply.body == expected -> null
            else -> "${answer.request} got ${reply.body} instead of $expected"
        }
    }

    private fun repeatedAnswers(): List<String> = world.answers
        .groupBy { it.request }
        .filter { (_, answers) -> answers.size > 1 }
        .map { (request, answers) -> "$request has ${answers.size} answers" }

    /** Only the callers of a node that crashed may stay without an answer. */
    private fun missingAnswers(): List<String> {
        val answered = world.answers.map { it.request }.toSet()
        val hasCrashed = world.nodes.any { it.incarnation > 0 }
        val missing = if (hasCrashed) emptySet() else world.calls.keys - answered
        return missing.map { "$it has no answer" }
    }

    private fun isRefusal(part: AnswerPart): Boolean =
        part is AnswerPart.Failed && part.code in NOT_RUN_CODES

    private fun callOf(execution: Execution): ServiceCall =
        checkNotNull(world.calls[execution.attempt.request]) { "no call of $execution" }

    private companion object {
        val NOT_RUN_CODES = setOf(
            ResultCode.NOT_RUN,
            ResultCode.STORE_UNAVAILABLE,
            ResultCode.DEADLINE_PASSED,
            ResultCode.NO_UPSTREAM,
            ResultCode.IN_PROGRESS,
            ResultCode.KEY_REUSED,
        )
    }
}

/** Returns the key of [call] over all nodes. */
internal fun keyOf(call: ServiceCall): RecordKey =
    RecordKey(call.organisation, call.service, call.key ?: IdempotencyKey(call.id.value))

/** Returns the body with which the service answers a call of [key]. */
internal fun bodyOf(key: RecordKey): String = "done $key"

/** Returns the name under which [part] is counted. */
internal fun nameOf(part: AnswerPart): String = when (part) {
    is AnswerPart.Failed -> part.code.name
    is AnswerPart.Reply -> "REPLY"
    is AnswerPart.Finished, is AnswerPart.Tokens -> "OTHER"
}
