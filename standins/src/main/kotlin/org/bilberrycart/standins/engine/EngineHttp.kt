package org.bilberrycart.standins.engine

import org.bilberrycart.pipeline.Clock
import org.bilberrycart.pipeline.Ring
import org.bilberrycart.standins.http.ErrorBody
import org.bilberrycart.standins.http.HangGate
import org.bilberrycart.standins.http.HealthBody
import org.bilberrycart.standins.http.LoadBody
import org.bilberrycart.standins.http.connection
import org.bilberrycart.standins.http.hangFilter
import org.bilberrycart.standins.http.jsonResponse
import org.bilberrycart.standins.http.refuseBadInput
import org.bilberrycart.standins.http.standInJson
import org.bilberrycart.standins.pipeline.Mailboxes
import org.http4k.core.HttpHandler
import org.http4k.core.Method.DELETE
import org.http4k.core.Method.GET
import org.http4k.core.Method.POST
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.core.then
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes

/** The HTTP protocol of the engine: turns requests into events and replies into responses. */
internal class EngineHttp(
    private val events: Ring<EngineEvent>,
    private val mailboxes: Mailboxes<EngineReply>,
    private val gate: HangGate,
    private val clock: Clock,
    private val observer: TokenObserver,
    private val state: () -> EngineState,
) {
    /** Returns the handler for all paths. */
    fun handler(): HttpHandler = refuseBadInput.then(
        routes(
            hangFilter(gate).then(
                routes(
                    "/v1/streams" bind POST to ::open,
                    "/v1/streams/{attempt}" bind GET to ::read,
                    "/v1/streams/{attempt}" bind DELETE to ::cancel,
                    "/v1/load" bind GET to { load() },
                    "/v1/health" bind GET to { health() },
                    "/v1/cache" bind GET to ::cache,
                    "/v1/orders" bind POST to ::command,
                    "/v1/state" bind GET to { stateResponse() },
                ),
            ),
            "/standin/fault" bind POST to ::fault,
            "/standin/state" bind GET to { stateResponse() },
        ),
    )

    private fun open(request: Request): Response {
        val body = standInJson.decodeFromString<StreamRequest>(request.bodyString())
        return stream(request) { EngineEvent.Open(body, it) }
    }

    private fun read(request: Request): Response {
        val from = requireNotNull((request.query("from") ?: "0").toIntOrNull()) {
            "from must be a number, got '${request.query("from")}'"
        }
        return stream(request) { EngineEvent.Read(request.attempt, from, it) }
    }

    private fun stream(request: Request, event: (ReaderId) -> EngineEvent): Response {
        val reader = ReaderId(mailboxes.open())
        val ring = checkNotNull(mailboxes[reader.value]) { "no mailbox $reader" }
        events.put(event(reader))
        return when (val reply = ring.takeAll(limit = 1).firstOrNull()) {
            is EngineReply.Accepted -> {
                val awaitConnection = { gate.awaitOpen(request.connection) }
                val body =
                    StreamBody(ring, reply.source, observer, awaitConnection) {
                        closeReader(reader)
                    }
                Response(Status.OK)
                    .header("Content-Type", "text/event-stream")
                    .header("Cache-Control", "no-cache")
                    .body(body)
            }
            else -> {
                mailboxes.close(reader.value)
                refusal(reply)
            }
        }
    }

    private fun closeReader(reader: ReaderId) {
        mailboxes.close(reader.value)
        events.put(EngineEvent.ReaderClosed(reader))
    }

    private fun cancel(request: Request): Response =
        when (val reply = awaitReply { EngineEvent.Cancel(request.attempt, it) }) {
            EngineReply.Done -> Response(Status.NO_CONTENT)
            else -> refusal(reply)
        }

    private fun command(request: Request): Response {
        val body = standInJson.decodeFromString<EngineCommandBody>(request.bodyString())
        return when (
            val reply = awaitReply {
                EngineEvent.CommandReceived(body.fencing, body.command, it)
            }
        ) {
            EngineReply.Done -> stateResponse()
            else -> refusal(reply)
        }
    }

    private fun fault(request: Request): Response {
        val fault = standInJson.decodeFromString<EngineFaultBody>(request.bodyString()).toFault()
        awaitReply { EngineEvent.FaultInjected(fault, it) }
        return stateResponse()
    }

    private fun load(): Response {
        val current = state()
        val sample = current.load.at(clock.now() - current.settings.loadLag)
        val body = LoadBody(
            slots = current.settings.slots,
            running = sample.running,
            queued = sample.queued,
            incarnation = current.incarnation,
            leaving = current.isLeaving,
            models = current.models.toList(),
        )
        return jsonResponse(Status.OK, body)
    }

    private fun health(): Response = jsonResponse(Status.OK, HealthBody(alive = true))

    private fun cache(request: Request): Response {
        val current = state()
        val after = request.query("after")?.toLongOrNull() ?: 0
        val events = current.cacheLog.published(after, clock.now() - current.settings.cacheLag)
        val body = CacheBody(
            incarnation = current.incarnation,
            last = events.lastOrNull()?.sequence ?: after,
            events = events.map { event ->
                CacheEventBody(event.sequence, event.blocks.map { it.toULong().toString(HEX) })
            },
        )
        return jsonResponse(Status.OK, body)
    }

    private fun stateResponse(): Response = jsonResponse(Status.OK, state().toBody())

    /** Puts the event into the duty's ring and waits for its reply; null if the engine died. */
    private fun awaitReply(event: (ReaderId) -> EngineEvent): EngineReply? =
        mailboxes.use { id, ring ->
            events.put(event(ReaderId(id)))
            ring.takeAll(limit = 1).firstOrNull()
        }

    private fun refusal(reply: EngineReply?): Response = when (reply) {
        is EngineReply.Refused ->
            jsonResponse(Status(reply.status, ""), ErrorBody(reply.error, reply.fencing))
        else -> jsonResponse(Status.SERVICE_UNAVAILABLE, ErrorBody("the engine is gone"))
    }

    private val Request.attempt: String
        get() = path("attempt").orEmpty()

    private companion object {
        const val HEX = 16
    }
}
