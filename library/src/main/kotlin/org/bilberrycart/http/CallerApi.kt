package org.bilberrycart.http

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.decode.CallDraft
import org.bilberrycart.decode.CallerJson
import org.bilberrycart.decode.Credential
import org.bilberrycart.decode.Decoded
import org.bilberrycart.decode.RequestChecker
import org.bilberrycart.decode.then
import org.bilberrycart.encode.AnswerEncoder
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.EventId
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.Request as PipelineRequest
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ResultCode
import org.bilberrycart.model.ServiceId
import org.http4k.core.HttpHandler
import org.http4k.core.Method.DELETE
import org.http4k.core.Method.GET
import org.http4k.core.Method.POST
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes

/**
 * The HTTP interface for callers; docs/CALLER-API.md defines it.
 *
 * The thread of an HTTP request decodes and validates it, submits it to the pipeline and then waits
 * on the outbox of its caller. All other decisions are made in the pipeline.
 *
 * @property keepAlive the interval of keep-alive comments on a stream without events.
 */
public class CallerApi(
    private val frontEnd: FrontEnd,
    private val callers: Callers,
    private val keepAlive: Duration = 5.seconds,
) {
    /** Returns the handler for all routes of the interface. */
    public fun handler(): HttpHandler = routes(
        "/v1/generations" bind POST to ::generate,
        "/v1/generations/{id}" bind GET to ::resume,
        "/v1/generations/{id}" bind DELETE to ::cancel,
        "/v1/services/{service}/calls/{operation}" bind POST to ::call,
    )

    private fun generate(http: Request): Response {
        val checker = RequestChecker(frontEnd.fleet)
        val now = frontEnd.now()
        val id = frontEnd.newRequestId()
        val draft = body(http).then(CallerJson::generation)
        val request = authenticate(checker, http).then { organisation ->
            draft.then { checker.generation(it, organisation, id, now) }
        }
        return respond(request) { valid ->
            val isStreamed = (draft as Decoded.Valid).value.stream
            val reader = submit(valid)
            if (isStreamed) streamAnswer(id, reader) else wholeAnswer(id, reader)
        }
    }

    private fun resume(http: Request): Response {
        val checker = RequestChecker(frontEnd.fleet)
        val position = authenticate(checker, http).then { organisation ->
            requestId(http).then { id ->
                eventId(http, id).then { Decoded.Valid(AnswerPosition(organisation, id, it)) }
            }
        }
        return respond(position) { (organisation, id, after) ->
            val caller = callers.open()
            val reader = AnswerReader(id, caller, callers, frontEnd)
            frontEnd.reconnect(id, organisation, caller.id, after)
            streamAnswer(id, reader)
        }
    }

    private fun cancel(http: Request): Response {
        val checker = RequestChecker(frontEnd.fleet)
        val target = authenticate(checker, http).then { organisation ->
            requestId(http).then { Decoded.Valid(AnswerPosition(organisation, it, after = null)) }
        }
        return respond(target) { (organisation, id) ->
            frontEnd.cancel(id, organisation)
            Response(Status.ACCEPTED)
        }
    }

    private fun call(http: Request): Response {
        val checker = RequestChecker(frontEnd.fleet)
        val now = frontEnd.now()
        val id = frontEnd.newRequestId()
        val request = authenticate(checker, http).then { organisation ->
            body(http).then { body ->
                callDraft(http, body).then { checker.call(it, organisation, id, now) }
            }
        }
        return respond(request) { wholeAnswer(id, submit(it)) }
    }

    private fun submit(request: PipelineRequest): AnswerReader {
        val caller = callers.open()
        val reader = AnswerReader(request.id, caller, callers, frontEnd)
        frontEnd.submit(request, caller.id)
        return reader
    }

    private fun streamAnswer(id: RequestId, reader: AnswerReader): Response {
        val first = firstParts(reader)
        val failure = first.firstOrNull() as? AnswerPart.Failed
        if (failure != null) return reader.use { failureResponse(failure) }
        return Response(Status.OK)
            .header("Content-Type", "text/event-stream")
            .header("Cache-Control", "no-store")
            .header(REQUEST_ID_HEADER, id.value)
            .body(EventStream(id, first, reader, keepAlive))
    }

    private fun firstParts(reader: AnswerReader): List<AnswerPart> =
        generateSequence { reader.take(keepAlive) }.first { it.isNotEmpty() }

    private fun wholeAnswer(id: RequestId, reader: AnswerReader): Response = reader.use {
        val parts = generateSequence { reader.take(keepAlive) }
            .flatten()
            .takeThrough(AnswerPart::isLast)
        when (val end = parts.last()) {
            is AnswerPart.Reply -> jsonResponse(Status(end.status, null), end.body)
            is AnswerPart.Failed -> failureResponse(end)
            is AnswerPart.Finished -> {
                val tokens = parts.filterIsInstance<AnswerPart.Tokens>().flatMap { it.tokens }
                jsonResponse(Status.OK, AnswerEncoder.answer(id, tokens, end.reason))
            }
            is AnswerPart.Tokens -> failureResponse(AnswerPart.Failed(ResultCode.INTERNAL))
        }.header(REQUEST_ID_HEADER, id.value)
    }

    private fun authenticate(checker: RequestChecker, http: Request): Decoded<OrganisationId> =
        checker.authenticate(Credential.parse(http.header("Authorization")))

    private fun body(http: Request): Decoded<String> {
        val limit = frontEnd.fleet.limits.maxBodyBytes
        val bytes = http.body.stream.readNBytes(limit + 1)
        return if (bytes.size > limit) {
            Decoded.Invalid(ResultCode.BODY_TOO_LARGE, "at most $limit bytes")
        } else {
            Decoded.Valid(bytes.toString(Charsets.UTF_8))
        }
    }

    private fun requestId(http: Request): Decoded<RequestId> {
        val id = http.path("id").orEmpty()
        return if (REQUEST_ID_PATTERN.matches(id)) {
            Decoded.Valid(RequestId(id))
        } else {
            Decoded.Invalid(ResultCode.BAD_REQUEST_ID, "expected 1 to 64 letters, digits or -")
        }
    }

    private fun eventId(http: Request, id: RequestId): Decoded<EventId?> {
        val header = http.header("Last-Event-ID") ?: return Decoded.Valid(null)
        val eventId = EventId.parse(header)?.takeIf { it.request == id }
        return eventId?.let { Decoded.Valid(it) }
            ?: Decoded.Invalid(ResultCode.BAD_EVENT_ID, "Last-Event-ID")
    }

    private fun callDraft(http: Request, body: String): Decoded<CallDraft> {
        val deadline = http.header(DEADLINE_HEADER)
        val millis = deadline?.toLongOrNull()
        if (deadline != null && millis == null) {
            return Decoded.Invalid(ResultCode.BAD_DEADLINE, "$DEADLINE_HEADER in milliseconds")
        }
        return Decoded.Valid(
            CallDraft(
                service = ServiceId(http.path("service").orEmpty()),
                operation = http.path("operation").orEmpty(),
                body = body,
                key = http.header("Idempotency-Key"),
                deadlineMillis = millis,
                isAction = http.header(REQUEST_CLASS_HEADER) != CLASS_CHECK,
            ),
        )
    }

    private inline fun <T> respond(decoded: Decoded<T>, next: (T) -> Response): Response =
        when (decoded) {
            is Decoded.Valid -> next(decoded.value)
            is Decoded.Invalid -> failureResponse(AnswerPart.Failed(decoded.code, decoded.detail))
        }

    private fun failureResponse(part: AnswerPart.Failed): Response {
        val response = jsonResponse(Status(part.code.status, null), AnswerEncoder.failure(part))
        val wait = part.retryAfter ?: return response
        val seconds = (wait + 999.milliseconds).inWholeSeconds.coerceAtLeast(1)
        return response.header("Retry-After", "$seconds")
    }

    private fun jsonResponse(status: Status, body: String): Response =
        Response(status).header("Content-Type", "application/json").body(body)

    private data class AnswerPosition(
        val organisation: OrganisationId,
        val request: RequestId,
        val after: EventId?,
    )

    private companion object {
        const val REQUEST_ID_HEADER = "X-Request-Id"
        const val DEADLINE_HEADER = "X-Deadline-Millis"
        const val REQUEST_CLASS_HEADER = "X-Request-Class"
        const val CLASS_CHECK = "check"
        val REQUEST_ID_PATTERN = Regex("[A-Za-z0-9-]{1,64}")
    }
}
