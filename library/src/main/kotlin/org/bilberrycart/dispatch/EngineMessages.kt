package org.bilberrycart.dispatch

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.FinishReason
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.LossCause
import org.bilberrycart.model.Placement
import org.bilberrycart.model.Token

/** Encodes and decodes the JSON messages of engines; docs/UPSTREAM-PROTOCOL.md defines them. */
internal object EngineMessages {
    private val json = Json { ignoreUnknownKeys = true }

    @Serializable
    private data class StreamRequest(
        val attempt: String,
        val model: String,
        val adapter: String,
        val version: String,
        val prompt: String,
        val prefix: List<String>,
        val maxTokens: Int,
        val temperature: Double,
        val topP: Double,
        val seed: Long,
        val priority: Int,
    )

    @Serializable
    private data class FinishMessage(val reason: FinishReason, val tokens: Int)

    /** Returns the JSON body of the request that starts the attempt of [placement]. */
    fun encodeStart(placement: Placement, request: GenerationRequest): String = json.encodeToString(
        StreamRequest.serializer(),
        StreamRequest(
            attempt = placement.attempt.toString(),
            model = request.model.model,
            adapter = request.model.adapter,
            version = request.model.version,
            prompt = request.prompt,
            prefix = placement.prefix.map(Token::text),
            maxTokens = request.sampling.maxTokens,
            temperature = request.sampling.temperature,
            topP = request.sampling.topP,
            seed = request.sampling.seed,
            priority = request.requestClass.priority,
        ),
    )

    /**
     * Decodes one event of an engine's stream.
     *
     * Returns [UpstreamEvent.Lost] with [LossCause.PROTOCOL] if the type of the event is unknown or
     * its data is malformed.
     */
    fun decode(attempt: AttemptId, event: EventStreamReader.StreamEvent): UpstreamEvent =
        runCatching {
            when (event.event) {
                "" -> {
                    val token = json.decodeFromString(Token.serializer(), event.data)
                    UpstreamEvent.TokenArrived(attempt, token)
                }
                "finish" -> {
                    val finish = json.decodeFromString(FinishMessage.serializer(), event.data)
                    UpstreamEvent.Finished(attempt, finish.reason, finish.tokens)
                }
                else -> protocolFailure(attempt)
            }
        }.getOrElse { protocolFailure(attempt) }

    private fun protocolFailure(attempt: AttemptId): UpstreamEvent =
        UpstreamEvent.Lost(attempt, LossCause.PROTOCOL, mayHaveBeenSent = true)
}
