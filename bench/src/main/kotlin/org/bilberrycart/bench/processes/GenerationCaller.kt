package org.bilberrycart.bench.processes

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlinx.serialization.json.Json
import org.bilberrycart.bench.traffic.AnswerProgress
import org.bilberrycart.decode.GenerationDraft
import org.bilberrycart.dispatch.EventStreamReader.StreamEvent
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.Token
import org.bilberrycart.pipeline.Ring
import org.bilberrycart.standins.engine.TokenSource

/**
 * A caller of one streamed generation that resumes it at a random node when its connection fails.
 *
 * It runs on a thread of its own, reads the replies of a node from a ring and reports its
 * observations to [events].
 */
class GenerationCaller(
    private val client: NodeClient,
    private val fleet: ProcessFleet,
    private val events: Ring<ProcessRunEvent>,
    private val random: Random,
) {
    /**
     * The state of the answer.
     *
     * @property lastId the id of the last event received; empty before the first token.
     * @property code the result code; null while the answer runs.
     * @property nodeKilledAt when the node that served the answer was killed; null if it was not,
     *   or if a token has arrived since.
     */
    private data class AnswerState(
        val progress: AnswerProgress,
        val lastId: String = "",
        val code: Int? = null,
        val retry: Boolean = false,
        val nodeKilledAt: TimeMark? = null,
    )

    /** Requests the generation [scheduled] and reads its answer to the end. */
    fun run(scheduled: Scheduled.Generation) {
        events.put(ProcessRunEvent.Requested(isAction = false))
        val prompt = "generation ${scheduled.number} of the soak"
        val source = TokenSource(prompt, SettingsFolders.MODEL.model)
        val first = AnswerState(AnswerProgress(source, scheduled.tokens))
        val deadline = TimeSource.Monotonic.markNow() + TOTAL_TIMEOUT
        val last = generateSequence(first) { answer ->
            answer.takeIf { it.code == null && deadline.hasNotPassedNow() }?.let { attempt(it) }
        }.last()
        val code = last.code ?: ProcessRunFilter.NO_RESULT
        events.put(ProcessRunEvent.AnswerEnded(scheduled.number, last.progress, code))
    }

    private fun attempt(answer: AnswerState): AnswerState {
        val node = random.nextInt(ProcessFleet.NODES)
        val startedAt = TimeSource.Monotonic.markNow()
        val request = if (answer.lastId.isEmpty()) {
            client.post(node, "/v1/generations", Json.encodeToString(draft(answer)))
        } else {
            events.put(ProcessRunEvent.Reconnected)
            client.get(node, "/v1/generations/${answer.lastId.substringBefore(':')}")
                .headers { it.put("Last-Event-ID", answer.lastId) }
        }
        val ring = client.send(request)
        val next = read(answer, ring, FIRST_REPLY_TIMEOUT)
        request.abort(InterruptedException("the caller goes to another node"))
        return next.copy(nodeKilledAt = next.nodeKilledAt ?: killedSince(node, startedAt))
    }

    private fun read(
        start: AnswerState,
        ring: Ring<NodeReply>,
        firstReplyTimeout: Duration,
    ): AnswerState {
        var answer = start
        var wait = firstReplyTimeout
        while (true) {
            val replies = ring.takeAll(wait = wait)
            if (replies.isEmpty()) return answer
            for (reply in replies) {
                when (reply) {
                    is NodeReply.Event -> answer = withEvent(answer, reply.event)
                    is NodeReply.Ended -> return exchangeEnded(answer, reply)
                }
                if (answer.code != null) return answer
            }
            wait = NEXT_REPLY_TIMEOUT
        }
    }

    private fun withEvent(answer: AnswerState, event: StreamEvent): AnswerState =
        when (event.event) {
            "" -> {
                val token = Json.decodeFromString(Token.serializer(), event.data)
                answer.nodeKilledAt?.let {
                    events.put(ProcessRunEvent.ResumedAfterKill(it.elapsedNow()))
                }
                val progress = answer.progress.withToken(token.index, token.text)
                answer.copy(progress = progress, lastId = event.id, nodeKilledAt = null)
            }
            "finish" -> answer.copy(
                progress = answer.progress.withEnd(),
                code = ProcessRunFilter.WHOLE,
            )
            else -> answer.copy(
                code = decodeRefusal(event.data)?.code ?: ProcessRunFilter.NO_RESULT,
            )
        }

    /**
     * Handles the end of an exchange. A refusal ends the answer, unless it is a retryable refusal
     * of a reconnect. All other ends lead to another attempt.
     */
    private fun exchangeEnded(answer: AnswerState, reply: NodeReply.Ended): AnswerState {
        val refusal = if (reply.status == 0) null else decodeRefusal(reply.body)
        if (refusal != null && !(refusal.retryable && answer.lastId.isNotEmpty())) {
            return answer.copy(code = refusal.code)
        }
        Thread.sleep(RETRY_DELAY.inWholeMilliseconds)
        return answer
    }

    private fun killedSince(node: Int, startedAt: TimeMark): TimeMark? =
        fleet.killedAt(node)?.takeIf { it.elapsedNow() <= startedAt.elapsedNow() }

    private fun draft(answer: AnswerState) = GenerationDraft(
        service = SettingsFolders.DRAFTS,
        model = SettingsFolders.MODEL.model,
        prompt = answer.progress.source.prompt,
        maxTokens = answer.progress.maxTokens,
        requestClass = RequestClass.LONG_DRAFT,
        deadlineMillis = TOTAL_TIMEOUT.inWholeMilliseconds,
    )

    private companion object {
        val TOTAL_TIMEOUT = 60.seconds
        val FIRST_REPLY_TIMEOUT = 10.seconds
        val NEXT_REPLY_TIMEOUT = 3.seconds
        val RETRY_DELAY = 50.milliseconds
    }
}
