package org.bilberrycart.standins.engine

import kotlinx.serialization.Serializable
import org.bilberrycart.standins.http.LoadedModel

/**
 * The body of `POST /v1/streams`.
 *
 * @property prefix the tokens that the answer already has; generation continues after them.
 * @property maxTokens the largest number of tokens of the whole answer, prefix included.
 * @property priority the stream with the lowest number leaves the queue first.
 */
@Serializable
data class StreamRequest(
    val attempt: String,
    val model: String,
    val adapter: String = "",
    val version: String = "1",
    val prompt: String,
    val prefix: List<String> = emptyList(),
    val maxTokens: Int,
    val temperature: Double = 0.0,
    val topP: Double = 1.0,
    val seed: Long = 0,
    val priority: Int = 0,
) {
    internal val loadedModel: LoadedModel
        get() = LoadedModel(model, adapter, version)

    /** Returns what is invalid in this request, or null if it is valid. */
    internal fun validationError(): String? = when {
        attempt.isEmpty() || '/' in attempt -> "attempt must be a path segment, got '$attempt'"
        maxTokens !in 1..MAX_TOKENS -> "maxTokens must be in 1..$MAX_TOKENS, got $maxTokens"
        temperature < 0 -> "temperature must not be negative, got $temperature"
        topP <= 0 || topP > 1 -> "topP must be in (0, 1], got $topP"
        else -> null
    }
}

private const val MAX_TOKENS = 1_000_000
