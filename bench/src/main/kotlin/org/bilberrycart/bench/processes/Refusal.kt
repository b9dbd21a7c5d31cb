package org.bilberrycart.bench.processes

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** A numbered refusal as callers read it. */
@Serializable
internal data class Refusal(val code: Int, val retryable: Boolean)

private val json = Json { ignoreUnknownKeys = true }

/** Returns the refusal that [body] holds; null if it is none. */
internal fun refusalOf(body: String): Refusal? = try {
    json.decodeFromString(Refusal.serializer(), body)
} catch (e: IllegalArgumentException) {
    null
}
