package org.bilberrycart.bench.actions

import org.bilberrycart.idempotency.RecordKey
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.IdempotencyKey
import org.bilberrycart.model.RepeatMode
import org.bilberrycart.model.ResultCode
import org.bilberrycart.model.ServiceCall

/** Checks the history of a finished run against the guarantees that callers are given. */
internal class HistoryCheck(private val simulation: Simulation) {
    /** Returns one line for each violated guarantee. */
    fun violations(): List<String> =
        repeatedExecutions() + executedDespiteRefusal() + wrongAnswers() + repeatedAnswers() +
            missingAnswers()

    private fun repeatedExecutions(): List<String> = simulation.executions
        .filter { callOf(it).repeatMode != RepeatMode.IDEMPOTENT }
        .groupBy { it.key }
        .filter { (_, runs) -> runs.size > 1 }
        .map { (key, runs) ->
            "key $key was executed ${runs.size} times: ${runs.map { it.attempt }}"
        }

    private fun executedDespiteRefusal(): List<String> {
        val notRun = simulation.answers.filter { isNotRun(it.part) }.map { it.request }.toSet()
        return simulation.executions
            .filter { it.attempt.request in notRun }
            .map { "${it.attempt} was executed, but its caller was answered that it was not" }
    }

    private fun wrongAnswers(): List<String> = simulation.answers.mapNotNull { answer ->
        val reply = answer.part as? AnswerPart.Reply
        val expected = responseBodyOf(recordKeyOf(checkNotNull(simulation.calls[answer.request])))
        when {
            reply == null || reply.body == expected -> null
            else -> "${answer.request} received ${reply.body} instead of $expected"
        }
    }

    private fun repeatedAnswers(): List<String> = simulation.answers
        .groupBy { it.request }
        .filter { (_, answers) -> answers.size > 1 }
        .map { (request, answers) -> "$request has ${answers.size} answers" }

    /** A call may remain without an answer only in a run in which a node crashed. */
    private fun missingAnswers(): List<String> {
        val answered = simulation.answers.map { it.request }.toSet()
        val hasCrashed = simulation.nodes.any { it.incarnation > 0 }
        val missing = if (hasCrashed) emptySet() else simulation.calls.keys - answered
        return missing.map { "$it has no answer" }
    }

    private fun isNotRun(part: AnswerPart): Boolean =
        part is AnswerPart.Failed && part.code in NOT_RUN_CODES

    private fun callOf(execution: Execution): ServiceCall =
        checkNotNull(simulation.calls[execution.attempt.request]) {
            "no call belongs to $execution"
        }

    private companion object {
        /** The result codes that tell a caller that its request was not executed. */
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

/** Returns the key under which all nodes store the record of [call]. */
internal fun recordKeyOf(call: ServiceCall): RecordKey =
    RecordKey(call.organisation, call.service, call.key ?: IdempotencyKey(call.id.value))

/** Returns the body of the service's response to a call with [key]. */
internal fun responseBodyOf(key: RecordKey): String = "done $key"

/** Returns the name under which reports count the result in [part]. */
internal fun resultNameOf(part: AnswerPart): String = when (part) {
    is AnswerPart.Failed -> part.code.name
    is AnswerPart.Reply -> "REPLY"
    is AnswerPart.Finished, is AnswerPart.Tokens -> "OTHER"
}
