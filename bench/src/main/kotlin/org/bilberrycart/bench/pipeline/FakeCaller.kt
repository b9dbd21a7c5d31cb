package org.bilberrycart.bench.pipeline

import kotlin.time.Duration
import org.bilberrycart.http.Callers
import org.bilberrycart.http.FrontEnd
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.EventId
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.ResultCode

/** A caller that checks each part of its answer, and may vanish, come back or cancel. */
internal class FakeCaller(
    val request: GenerationRequest,
    private val frontEnd: FrontEnd,
    private val callers: Callers,
    private val watch: RunWatch,
) {
    private var connection = callers.open()
    private var isConnected = true
    private var epoch = 1

    /** The number of tokens that the caller has. */
    var received = 0
        private set

    /** The end of the answer; null while it goes on. */
    var end: AnswerPart? = null
        private set

    /** Whether the caller asked to stop the generation. */
    var isCancelled = false
        private set

    fun submit(): Unit = frontEnd.submit(request, connection.id)

    /** Takes what the outbox holds. */
    fun take() {
        if (!isConnected || end != null) return
        val parts = connection.outbox.takeAll(wait = Duration.ZERO)
        parts.forEach(::take)
        if (parts.isNotEmpty() && end == null) {
            frontEnd.credit(request.id, connection.id, parts.size)
        }
    }

    /** The connection breaks; what is in the outbox is lost. */
    fun vanish() {
        if (!isConnected || end != null) return
        isConnected = false
        callers.close(connection.id)
        frontEnd.disconnect(request.id, connection.id)
    }

    /** Comes back with the position of the last token. */
    fun comeBack() {
        if (isConnected || end != null) return
        connection = callers.open()
        isConnected = true
        val after = if (received == 0) null else EventId(request.id, epoch, received - 1)
        frontEnd.reconnect(request.id, request.organisation, connection.id, after)
    }

    /** Asks to stop the generation. */
    fun cancel() {
        if (end != null) return
        isCancelled = true
        frontEnd.cancel(request.id, request.organisation)
    }

    private fun take(part: AnswerPart) {
        watch.trace { "caller ${request.id}: $part" }
        watch.check(end == null) { "${request.id} got $part after its end" }
        when (part) {
            is AnswerPart.Tokens -> tokens(part)
            is AnswerPart.Finished -> finished(part)
            is AnswerPart.Failed -> failed(part)
            is AnswerPart.Reply -> watch.check(false) { "${request.id} got the reply of a call" }
        }
    }

    private fun tokens(part: AnswerPart.Tokens) {
        epoch = part.epoch
        part.tokens.forEach { token ->
            val expected = expectedToken(request, received)
            watch.check(token == expected) { "${request.id} got $token instead of $expected" }
            received++
        }
    }

    private fun finished(part: AnswerPart.Finished) {
        end = part
        val expected = answerLength(request)
        watch.check(received == expected && part.tokenCount == expected) {
            "${request.id} ended with $received of $expected tokens, told ${part.tokenCount}"
        }
    }

    private fun failed(part: AnswerPart.Failed) {
        end = part
        val isExplained = part.code != ResultCode.CANCELLED || isCancelled
        watch.check(isExplained && part.code in ALLOWED) { "${request.id} ended with $part" }
    }

    private companion object {
        /** The results that a caller may get when engines fail. */
        val ALLOWED = setOf(
            ResultCode.CANCELLED,
            ResultCode.OVERLOADED,
            ResultCode.LIMIT_REACHED,
            ResultCode.NO_UPSTREAM,
            ResultCode.NO_MATCHING_ENGINE,
            ResultCode.RETRIES_EXHAUSTED,
            ResultCode.CRASHES_UPSTREAMS,
        )
    }
}
