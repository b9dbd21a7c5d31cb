package org.bilberrycart.encode

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.FinishReason
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.Token

/** Encodes whole answers and failures as JSON; docs/CALLER-API.md defines the format. */
public object AnswerEncoder {
    private val json = Json

    @Serializable
    private data class AnswerMessage(
        val request: String,
        val tokens: List<String>,
        val reason: FinishReason,
    )

    @Serializable
    private data class FailureMessage(
        val code: Int,
        val name: String,
        val message: String,
        val detail: String,
        val retryable: Boolean,
    )

    /** Returns the JSON of a finished generation. */
    public fun answer(request: RequestId, tokens: List<Token>, reason: FinishReason): String =
        json.encodeToString(
            AnswerMessage.serializer(),
            AnswerMessage(request.value, tokens.map(Token::text), reason),
        )

    /** Returns the JSON of a failure, used as a response body and as the data of an event. */
    public fun failure(part: AnswerPart.Failed): String = json.encodeToString(
        FailureMessage.serializer(),
        FailureMessage(
            code = part.code.number,
            name = part.code.name,
            message = part.code.meaning,
            detail = part.detail,
            retryable = part.code.retryable,
        ),
    )
}
