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
 * A caller of one streamed generation that goes to another node when its own is gone.
 *
 * It runs on a thread of its own, reads each answer from a ring, and tells [events] what it saw.
 */
class GenerationCaller(
    private val client: NodeClient,
    private val fleet: ProcessFleet,
    private val events: Ring<RunEvent>,
    private val random: Random,
) {
    /** Where the answer stands; [code] is null while it goes on. */
    private data class Answer(
        val progress: AnswerProgress,
        val lastId: String = "",
        val code: Int? = null,
        val retry: Boolean = false,
        val diedAt: TimeMark? = null,
    )

    /** Asks for the generation [scheduled] and reads its answer to the end. */
    fun run(scheduled: Scheduled.Generation) {
        events.put(RunEvent.Requested(isAction = false))
        val prompt = "generation ${scheduled.number} of the soak"
        val source = TokenSource(prompt, FleetFolder.MODEL.model)
        val first = Answer(AnswerProgress(source, scheduled.tokens))
        val deadline = TimeSource.Monotonic.markNow() + LIMIT
        val last = generateSequence(first) { answer ->
            answer.takeIf { it.code == null && deadline.hasNotPassedNow() }?.let { attempt(it) }
        }.last()
        val code = last.code ?: RunFilter.NO_RESULT
        events.put(RunEvent.AnswerOver(scheduled.number, last.progress, code))
    }

    private fun attempt(answer: Answer): Answer {
        val node = random.nextInt(ProcessFleet.NODES)
        val startedAt = TimeSource.Monotonic.markNow()
        val request = if (answer.lastId.isEmpty()) {
            client.post(node, "/v1/generations", Json.encodeToString(draft(answer)))
        } else {
            events.put(RunEvent.Reconnected)
            client.get(node, "/v1/generations/${answer.lastId.substringBefore(':')}")
                .headers { it.put("Last-Event-ID", answer.lastId) }
        }
        val ring = client.send(request)
        val next = read(answer, ring, FIRST_WAIT)
        request.abort(InterruptedException("the caller goes to another node"))
        return next.copy(diedAt = next.diedAt ?: deathOf(node, startedAt))
    }

    private fun read(start: Answer, ring: Ring<NodeReply>, firstWait: Duration): Answer {
        var answer = start
        var wait = firstWait
        while (true) {
            val replies = ring.takeAll(wait = wait)
            if (replies.isEmpty()) return answer
            for (reply in replies) {
                when (reply) {
                    is NodeReply.Event -> answer = take(answer, reply.event)
                    is NodeReply.Over -> return over(answer, reply)
                }
                if (answer.code != null) return answer
            }
            wait = NEXT_WAIT
        }
    }

    private fun take(answer: Answer, event: StreamEvent): Answer = when (event.event) {
        "" -> {
            val token = Json.decodeFromString(Token.serializer(), event.data)
            answer.diedAt?.let { events.put(RunEvent.ResumedAfterDeath(it.elapsedNow())) }
            val progress = answer.progress.withToken(token.index, token.text)
            answer.copy(progress = progress, lastId = event.id, diedAt = null)
        }
        "finish" -> answer.copy(progress = answer.progress.withEnd(), code = RunFilter.WHOLE)
        else -> answer.copy(code = refusalOf(event.data)?.code ?: RunFilter.NO_RESULT)
    }

    /** A refusal of a reconnect that may be repeated is; any other ends the answer. */
    private fun over(answer: Answer, reply: NodeReply.Over): Answer {
        val refusal = if (reply.status == 0) null else refusalOf(reply.body)
        if (refusal != null && !(refusal.retryable && answer.lastId.isNotEmpty())) {
            return answer.copy(code = refusal.code)
        }
        Thread.sleep(RETRY_PAUSE.inWholeMilliseconds)
        return answer
    }

    private fun deathOf(node: Int, startedAt: TimeMark): TimeMark? =
        fleet.deathOf(node)?.takeIf { it.elapsedNow() <= startedAt.elapsedNow() }

    private fun draft(answer: Answer) = GenerationDraft(
        service = FleetFolder.DRAFTS,
        model = FleetFolder.MODEL.model,
        prompt = answer.progress.source.prompt,
        maxTokens = answer.progress.maxTokens,
        requestClass = RequestClass.LONG_DRAFT,
        deadlineMillis = LIMIT.inWholeMilliseconds,
    )

    private companion object {
        val LIMIT = 60.seconds
        val FIRST_WAIT = 10.seconds
        val NEXT_WAIT = 3.seconds
        val RETRY_PAUSE = 50.milliseconds
    }
}
