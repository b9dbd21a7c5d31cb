package org.bilberrycart.encode

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.EventId
import org.bilberrycart.model.FinishReason
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.Token

/**
 * Encodes the parts of an answer as server-sent events; docs/CALLER-API.md defines the format.
 *
 * @param request the request to which the answer belongs, a part of each event id.
 */
public class EventEncoder(private val request: RequestId) {
    /** Returns the server-sent events of [part]; a part with several tokens gives one for each. */
    public fun encode(part: AnswerPart): String = when (part) {
        is AnswerPart.Tokens -> part.tokens.joinToString("") { token(part.epoch, it) }
        is AnswerPart.Finished -> event("finish", json.encodeToString(part.toMessage()))
        is AnswerPart.Failed -> event("error", AnswerEncoder.failure(part))
        is AnswerPart.Reply -> event("reply", part.body)
    }

    private fun token(epoch: Int, token: Token): String {
        val id = EventId(request, epoch, token.index)
        return "id: $id\ndata: ${json.encodeToString(Token.serializer(), token)}\n\n"
    }

    private fun event(type: String, data: String) = "event: $type\ndata: $data\n\n"

    private fun AnswerPart.Finished.toMessage() = FinishMessage(reason, tokenCount)

    @Serializable
    private data class FinishMessage(val reason: FinishReason, val tokens: Int)

    public companion object {
        /**
         * A comment that is sent while there are no events. It keeps the connection open, and its
         * failed write reveals that the caller has disconnected.
         */
        public const val KEEP_ALIVE: String = ": keep-alive\n\n"

        private val json = Json
    }
}
