package org.bilberrycart.standins.http

import kotlinx.serialization.Serializable
import org.http4k.core.Filter
import org.http4k.core.Request
import org.http4k.core.Status

/** The body of a refusal; [fencing] is the highest number seen if that was the reason. */
@Serializable
internal data class ErrorBody(val error: String, val fencing: Long? = null)

/** The answer of `GET /v1/health`. */
@Serializable
internal data class HealthBody(val alive: Boolean)

/** The remote port of this request, which identifies its connection; 0 if it is unknown. */
internal val Request.connection: Int
    get() = source?.port ?: 0

/** Returns a filter that holds requests and responses while [gate] holds their connection. */
internal fun hangFilter(gate: HangGate): Filter = Filter { next ->
    { request ->
        gate.awaitOpen(request.connection)
        next(request).also { gate.awaitOpen(request.connection) }
    }
}

/** Answers with status 400 if a handler throws [IllegalArgumentException]. */
internal val refuseBadInput: Filter = Filter { next ->
    { request ->
        try {
            next(request)
        } catch (e: IllegalArgumentException) {
            jsonResponse(Status.BAD_REQUEST, ErrorBody(e.message.orEmpty()))
        }
    }
}
