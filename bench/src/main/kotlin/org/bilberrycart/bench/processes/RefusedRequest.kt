package org.bilberrycart.bench.processes

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** The body of a refusal with the fields that callers read. */
@Serializable
internal data class RefusedRequest(val code: Int, val retryable: Boolean)

private val json = Json { ignoreUnknownKeys = true }

/** Decodes the refusal in [body]; returns null if [body] is not a refusal. */
internal fun decodeRefusal(body: String): RefusedRequest? = try {
    json.decodeFromString(RefusedRequest.serializer(), body)
} catch (e: IllegalArgumentException) {
    null
}
