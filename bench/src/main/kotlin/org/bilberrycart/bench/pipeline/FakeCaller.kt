package org.bilberrycart.bench.pipeline

import kotlin.time.Duration
import org.bilberrycart.http.Callers
import org.bilberrycart.http.FrontEnd
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.EventId
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.ResultCode

/** A fake caller that checks each part of its answer and may disconnect, reconnect or cancel. */
internal class FakeCaller(
    val request: GenerationRequest,
    private val frontEnd: FrontEnd,
    private val callers: Callers,
    private val recorder: ViolationRecorder,
) {
    private var connection = callers.open()
    private var isConnected = true
    private var epoch = 1

    /** The number of tokens that the caller has received. */
    var received = 0
        private set

    /** The part that ended the answer; null while the answer is in progress. */
    var finalPart: AnswerPart? = null
        private set

    /** Whether the caller has requested cancellation of its generation. */
    var isCancelled = false
        private set

    /** Submits the request on the caller's current connection. */
    fun submit(): Unit = frontEnd.submit(request, connection.id)

    /** Receives all parts that are waiting in the outbox, and grants credit for as many. */
    fun receiveParts() {
        if (!isConnected || finalPart != null) return
        val parts = connection.outbox.takeAll(wait = Duration.ZERO)
        parts.forEach(::receive)
        if (parts.isNotEmpty() && finalPart == null) {
            frontEnd.credit(request.id, connection.id, parts.size)
        }
    }

    /** Closes the connection; parts that are still in the outbox are lost. */
    fun disconnect() {
        if (!isConnected || finalPart != null) return
        isConnected = false
        callers.close(connection.id)
        frontEnd.disconnect(request.id, connection.id)
    }

    /** Reconnects on a new connection, with the event id of the last token received. */
    fun reconnect() {
        if (isConnected || finalPart != null) return
        connection = callers.open()
        isConnected = true
        val lastEventId = if (received == 0) null else EventId(request.id, epoch, received - 1)
        frontEnd.reconnect(request.id, request.organisation, connection.id, lastEventId)
    }

    /** Requests cancellation of the generation. */
    fun cancel() {
        if (finalPart != null) return
        isCancelled = true
        frontEnd.cancel(request.id, request.organisation)
    }

    private fun receive(part: AnswerPart) {
        recorder.trace { "caller ${request.id}: $part" }
        recorder.check(finalPart == null) { "${request.id} received $part after its final part" }
        when (part) {
            is AnswerPart.Tokens -> receiveTokens(part)
            is AnswerPart.Finished -> checkFinished(part)
            is AnswerPart.Failed -> checkFailed(part)
            is AnswerPart.Reply -> recorder.check(false) {
                "${request.id} received the reply of a service call"
            }
        }
    }

    private fun receiveTokens(part: AnswerPart.Tokens) {
        epoch = part.epoch
        part.tokens.forEach { token ->
            val expected = expectedToken(request, received)
            recorder.check(token == expected) {
                "${request.id} received $token instead of $expected"
            }
            received++
        }
    }

    private fun checkFinished(part: AnswerPart.Finished) {
        finalPart = part
        val expected = answerLength(request)
        recorder.check(received == expected && part.tokenCount == expected) {
            "${request.id} received $received of $expected tokens, reported ${part.tokenCount}"
        }
    }

    private fun checkFailed(part: AnswerPart.Failed) {
        finalPart = part
        val isRequested = part.code != ResultCode.CANCELLED || isCancelled
        recorder.check(isRequested && part.code in ALLOWED_CODES) {
            "${request.id} failed unexpectedly with $part"
        }
    }

    private companion object {
        /** The result codes that a caller may receive while engines fail. */
        val ALLOWED_CODES = setOf(
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
