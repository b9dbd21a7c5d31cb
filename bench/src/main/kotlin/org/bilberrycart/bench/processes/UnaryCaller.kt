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

/** A caller of requests with a single response: short questions, look-ups and actions. */
class UnaryCaller(
    private val client: NodeClient,
    private val events: Ring<ProcessRunEvent>,
    private val random: Random,
) {
    @Serializable
    private data class GenerationAnswer(val tokens: List<String>)

    @Serializable
    private data class ServiceAnswer(val key: String)

    /** Sends the short question [scheduled] and retries at a random node if no answer comes. */
    fun run(scheduled: Scheduled.Question) {
        events.put(ProcessRunEvent.Requested(isAction = false))
        val source = TokenSource("question ${scheduled.number} of the soak", MODEL)
        val draft = GenerationDraft(
            service = SettingsFolders.DRAFTS,
            model = MODEL,
            prompt = source.prompt,
            maxTokens = QUESTION_TOKENS,
            requestClass = RequestClass.SHORT_QUESTION,
            stream = false,
        )
        val body = Json.encodeToString(draft)
        val reply = retryUntilAnswered { client.send(client.post(it, "/v1/generations", body)) }
        val progress = AnswerProgress(source, QUESTION_TOKENS)
        val result = when {
            reply == null -> ProcessRunEvent.AnswerEnded(
                scheduled.number,
                progress,
                ProcessRunFilter.NO_RESULT,
            )
            reply.status == STATUS_OK -> questionAnswered(scheduled.number, progress, reply.body)
            else -> ProcessRunEvent.AnswerEnded(scheduled.number, progress, codeOf(reply.body))
        }
        events.put(result)
    }

    /** Looks up a slot and retries at a random node if no answer comes. */
    fun run(scheduled: Scheduled.Check) {
        events.put(ProcessRunEvent.Requested(isAction = false))
        val key = "check-${scheduled.number}"
        val reply = retryUntilAnswered { send(it, SettingsFolders.CHECKS, key) }
        events.put(ProcessRunEvent.CheckEnded(key, attemptOf(reply, key)))
    }

    /**
     * Sends the action [scheduled] and retries it with the same key at a random node if no answer
     * comes or the action is still in progress.
     */
    fun run(scheduled: Scheduled.Action) {
        events.put(ProcessRunEvent.Requested(isAction = true))
        val key = "action-${scheduled.number}"
        val deadline = TimeSource.Monotonic.markNow() + TOTAL_TIMEOUT
        val attempts = generateSequence(sendOnce(key)) { last ->
            if (deadline.hasNotPassedNow() && needsRetry(last)) sendOnce(key) else null
        }.toList()
        events.put(ProcessRunEvent.ActionEnded(key, attempts))
    }

    private fun sendOnce(key: String): ActionAttempt {
        val ring = send(random.nextInt(ProcessFleet.NODES), SettingsFolders.ACTIONS, key)
        val attempt = attemptOf(await(ring, ACTION_TIMEOUT), key)
        if (needsRetry(attempt)) Thread.sleep(RETRY_DELAY.inWholeMilliseconds)
        return attempt
    }

    private fun needsRetry(attempt: ActionAttempt): Boolean = when (attempt) {
        is ActionAttempt.Answered -> false
        is ActionAttempt.Refused -> attempt.code == IN_PROGRESS
        ActionAttempt.Unanswered -> true
    }

    private fun send(node: Int, service: ServiceId, key: String): Ring<NodeReply> {
        val path = "/v1/services/$service/calls/book"
        val request = client.post(node, path, """{"slot":"slot-$key"}""").headers {
            it.put("Idempotency-Key", key)
            it.put("X-Deadline-Millis", "$DEADLINE_MILLIS")
            if (service == SettingsFolders.CHECKS) it.put("X-Request-Class", "check")
        }
        return client.send(request)
    }

    private fun retryUntilAnswered(send: (node: Int) -> Ring<NodeReply>): NodeReply.Ended? {
        val deadline = TimeSource.Monotonic.markNow() + TOTAL_TIMEOUT
        return generateSequence { send(random.nextInt(ProcessFleet.NODES)) }
            .takeWhile { deadline.hasNotPassedNow() }
            .firstNotNullOfOrNull { ring ->
                await(ring, ANSWER_TIMEOUT)
                    ?: null.also { Thread.sleep(RETRY_DELAY.inWholeMilliseconds) }
            }
    }

    /** Returns the end of the exchange; null if it failed or took longer than [wait]. */
    private fun await(ring: Ring<NodeReply>, wait: Duration): NodeReply.Ended? =
        ring.takeAll(wait = wait).filterIsInstance<NodeReply.Ended>()
            .firstOrNull { it.status != 0 }

    private fun questionAnswered(
        number: Int,
        start: AnswerProgress,
        body: String,
    ): ProcessRunEvent {
        val answer = json.decodeFromString(GenerationAnswer.serializer(), body)
        val progress = answer.tokens
            .foldIndexed(start) { index, progress, text -> progress.withToken(index, text) }
        return ProcessRunEvent.AnswerEnded(number, progress.withEnd(), ProcessRunFilter.WHOLE)
    }

    private fun attemptOf(reply: NodeReply.Ended?, key: String): ActionAttempt = when {
        reply == null -> ActionAttempt.Unanswered
        reply.status == STATUS_OK -> ActionAttempt.Answered(
            json.decodeFromString(ServiceAnswer.serializer(), reply.body).key == key,
        )
        else -> ActionAttempt.Refused(codeOf(reply.body))
    }

    private fun codeOf(body: String): Int = decodeRefusal(body)?.code ?: ProcessRunFilter.NO_RESULT

    private companion object {
        val json = Json { ignoreUnknownKeys = true }
        val MODEL = SettingsFolders.MODEL.model
        val TOTAL_TIMEOUT = 40.seconds
        val ACTION_TIMEOUT = 3.seconds
        val ANSWER_TIMEOUT = 12.seconds
        val RETRY_DELAY = 100.milliseconds
        const val QUESTION_TOKENS = 16
        const val DEADLINE_MILLIS = 6_000L
        const val STATUS_OK = 200
        const val IN_PROGRESS = 4_004
    }
}
