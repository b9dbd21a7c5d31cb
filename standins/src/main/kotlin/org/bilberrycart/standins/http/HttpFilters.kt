package org.bilberrycart.standins.http

import kotlinx.serialization.Serializable
import org.http4k.core.Filter
import org.http4k.core.Request
import org.http4k.core.Status

/** The body of a refusal; [fencing] is the highest fencing number where that was the reason. */
@Serializable
internal data class ErrorBody(val error: String, val fencing: Long? = null)

/** The answer of `GET /v1/health`. */
@Serializable
internal data class HealthBody(val alive: Boolean)

/** The remote port of this request, which names its connection. */
internal val Request.connection: Int
    get() = source?.port ?: 0

/** Returns a filter that holds requests and responses while their connection hangs. */
internal fun hangingAt(gate: HangGate): Filter = Filter { next ->
    { request ->
        gate.pass(request.connection)
        next(request).also { gate.pass(request.connection) }
    }
}

/** Answers 400 where a handler finds its input unusable. */
internal val refuseBadInput: Filter = Filter { next ->
    { request ->
        try {
            next(request)
        } catch (e: IllegalArgumentException) {
            jsonResponse(Status.BAD_REQUEST, ErrorBody(e.message.orEmpty()))
        }
    }
}
