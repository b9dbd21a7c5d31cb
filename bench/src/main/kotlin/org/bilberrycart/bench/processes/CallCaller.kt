package org.bilberrycart.bench.processes

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.bilberrycart.bench.traffic.AnswerProgress
import org.bilberrycart.decode.GenerationDraft
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.ServiceId
import org.bilberrycart.pipeline.Ring
import org.bilberrycart.standins.engine.TokenSource

/** A caller of what is answered whole: short questions, look-ups and actions. */
class CallCaller(
    private val client: NodeClient,
    private val events: Ring<RunEvent>,
    private val random: Random,
) {
    @Serializable
    private data class WholeAnswer(val tokens: List<String>)

    @Serializable
    private data class ServiceAnswer(val key: String)

    /** Asks the short question [scheduled], again at another node if no answer comes. */
    fun run(scheduled: Scheduled.Question) {
        events.put(RunEvent.Requested(isAction = false))
        val source = TokenSource("question ${scheduled.number} of the soak", MODEL)
        val draft = GenerationDraft(
            service = FleetFolder.DRAFTS,
            model = MODEL,
            prompt = source.prompt,
            maxTokens = QUESTION_TOKENS,
            requestClass = RequestClass.SHORT_QUESTION,
            stream = false,
        )
        val body = Json.encodeToString(draft)
        val over = untilAnswered { client.send(client.post(it, "/v1/generations", body)) }
        val progress = AnswerProgress(source, QUESTION_TOKENS)
        val result = when {
            over == null -> RunEvent.AnswerOver(scheduled.number, progress, RunFilter.NO_RESULT)
            over.status == STATUS_OK -> whole(scheduled.number, progress, over.body)
            else -> RunEvent.AnswerOver(scheduled.number, progress, codeOf(over.body))
        }
        events.put(result)
    }

    /** Looks up a slot, again at another node if no answer comes. */
    fun run(scheduled: Scheduled.Check) {
        events.put(RunEvent.Requested(isAction = false))
        val key = "check-${scheduled.number}"
        val over = untilAnswered { send(it, FleetFolder.CHECKS, key) }
        events.put(RunEvent.CheckOver(key, attempt(over, key)))
    }

    /** Sends the action [scheduled], with the same key at another node if no answer comes. */
    fun run(scheduled: Scheduled.Action) {
        events.put(RunEvent.Requested(isAction = true))
        val key = "action-${scheduled.number}"
        val deadline = TimeSource.Monotonic.markNow() + LIMIT
        val attempts = generateSequence(sendOnce(key)) { last ->
            if (deadline.hasNotPassedNow() && isOpen(last)) sendOnce(key) else null
        }.toList()
        events.put(RunEvent.ActionOver(key, attempts))
    }

    private fun sendOnce(key: String): ActionAttempt {
        val ring = send(random.nextInt(ProcessFleet.NODES), FleetFolder.ACTIONS, key)
        val attempt = attempt(await(ring, ACTION_WAIT), key)
        if (isOpen(attempt)) Thread.sleep(RETRY_PAUSE.inWholeMilliseconds)
        return attempt
    }

    private fun isOpen(attempt: ActionAttempt): Boolean = when (attempt) {
        is ActionAttempt.Answered -> false
        is ActionAttempt.Refused -> attempt.code == IN_PROGRESS
        ActionAttempt.Unanswered -> true
    }

    private fun send(node: Int, service: ServiceId, key: String): Ring<NodeReply> {
        val path = "/v1/services/$service/calls/book"
        val request = client.post(node, path, """{"slot":"slot-$key"}""").headers {
            it.put("Idempotency-Key", key)
            it.put("X-Deadline-Millis", "$DEADLINE_MILLIS")
            if (service == FleetFolder.CHECKS) it.put("X-Request-Class", "check")
        }
        return client.send(request)
    }

    private fun untilAnswered(send: (node: Int) -> Ring<NodeReply>): NodeReply.Over? {
        val deadline = TimeSource.Monotonic.markNow() + LIMIT
        return generateSequence { send(random.nextInt(ProcessFleet.NODES)) }
            .takeWhile { deadline.hasNotPassedNow() }
            .firstNotNullOfOrNull { ring ->
                await(ring, QUESTION_WAIT)
                    ?: null.also { Thread.sleep(RETRY_PAUSE.inWholeMilliseconds) }
            }
    }

    /** Returns the end of the exchange; null if it broke off or took longer than [wait]. */
    private fun await(ring: Ring<NodeReply>, wait: Duration): NodeReply.Over? =
        ring.takeAll(wait = wait).filterIsInstance<NodeReply.Over>()
            .firstOrNull { it.status != 0 }

    private fun whole(number: Int, start: AnswerProgress, body: String): RunEvent {
        val answer = json.decodeFromString(WholeAnswer.serializer(), body)
        val progress = answer.tokens
            .foldIndexed(start) { index, progress, text -> progress.withToken(index, text) }
        return RunEvent.AnswerOver(number, progress.withEnd(), RunFilter.WHOLE)
    }

    private fun attempt(over: NodeReply.Over?, key: String): ActionAttempt = when {
        over == null -> ActionAttempt.Unanswered
        over.status == STATUS_OK -> ActionAttempt.Answered(
            json.decodeFromString(ServiceAnswer.serializer(), over.body).key == key,
        )
        else -> ActionAttempt.Refused(codeOf(over.body))
    }

    private fun codeOf(body: String): Int = refusalOf(body)?.code ?: RunFilter.NO_RESULT

    private companion object {
        val json = Json { ignoreUnknownKeys = true }
        val MODEL = FleetFolder.MODEL.model
        val LIMIT = 40.seconds
        val ACTION_WAIT = 3.seconds
        val QUESTION_WAIT = 12.seconds
        val RETRY_PAUSE = 100.milliseconds
        const val QUESTION_TOKENS = 16
        const val DEADLINE_MILLIS = 6_000L
        const val STATUS_OK = 200
        const val IN_PROGRESS = 4_004
    }
}
