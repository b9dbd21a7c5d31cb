package org.bilberrycart.decode

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.bilberrycart.model.ResultCode

/** Decodes the JSON bodies that callers send; docs/CALLER-API.md defines them. */
public object CallerJson {
    private val json = Json

    /**
     * Decodes [body] as a request for a generation.
     *
     * Returns [Decoded.Invalid] with [ResultCode.MALFORMED_BODY] if the body is malformed or has an
     * unknown key.
     */
    public fun generation(body: String): Decoded<GenerationDraft> = try {
        Decoded.Valid(json.decodeFromString(GenerationDraft.serializer(), body))
    } catch (e: SerializationException) {
        malformed(e)
    } catch (e: IllegalArgumentException) {
        malformed(e)
    }

    private fun malformed(cause: Exception): Decoded.Invalid = Decoded.Invalid(
        code = ResultCode.MALFORMED_BODY,
        detail = cause.message.orEmpty().lineSequence().first().take(MAX_DETAIL_CHARS),
    )

    private const val MAX_DETAIL_CHARS = 200
}
