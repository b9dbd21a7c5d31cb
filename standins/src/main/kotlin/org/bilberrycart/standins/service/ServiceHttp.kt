package org.bilberrycart.standins.service

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
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
import org.http4k.core.Method.GET
import org.http4k.core.Method.POST
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.core.then
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes

/** The HTTP protocol of the service: turns requests into events and replies into responses. */
internal class ServiceHttp(
    private val events: Ring<ServiceEvent>,
    private val mailboxes: Mailboxes<ServiceReply>,
    private val gate: HangGate,
    private val clock: Clock,
    private val state: () -> ServiceState,
) {
    /** Returns the handler for all paths. */
    fun handler(): HttpHandler = refuseBadInput.then(
        routes(
            hangFilter(gate).then(
                routes(
                    "/v1/calls/{operation}" bind POST to ::call,
                    "/v1/load" bind GET to { load() },
                    "/v1/health" bind GET to { jsonResponse(Status.OK, HealthBody(true)) },
                ),
            ),
            "/standin/executions" bind GET to ::executions,
            "/standin/fault" bind POST to ::fault,
        ),
    )

    private fun call(request: Request): Response {
        val body = standInJson.parseToJsonElement(request.bodyString())
        val reply = awaitReply { id ->
            val call = ServiceCall(
                id = id,
                operation = request.path("operation").orEmpty(),
                key = request.header("Idempotency-Key").orEmpty(),
                attempt = request.header("X-Attempt").orEmpty(),
                slot = ((body as? JsonObject)?.get("slot") as? JsonPrimitive)?.content.orEmpty(),
                connection = request.connection,
            )
            ServiceEvent.CallReceived(call)
        }
        return when (reply) {
            is ServiceReply.Executed -> jsonResponse(Status.OK, reply)
            is ServiceReply.Refused ->
                jsonResponse(Status(reply.status, ""), ErrorBody(reply.error))
            else -> jsonResponse(Status.SERVICE_UNAVAILABLE, ErrorBody("the service is gone"))
        }
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
        )
        return jsonResponse(Status.OK, body)
    }

    private fun executions(request: Request): Response {
        val minimum = request.query("minimum")?.toIntOrNull() ?: 1
        return jsonResponse(Status.OK, state().toExecutionsBody(minimum))
    }

    private fun fault(request: Request): Response {
        val fault = standInJson.decodeFromString<ServiceFaultBody>(request.bodyString()).toFault()
        awaitReply { ServiceEvent.FaultInjected(fault, it) }
        return jsonResponse(Status.OK, state().toExecutionsBody(minimum = Int.MAX_VALUE))
    }

    /** Puts the event into the duty's ring and waits for its reply; null if there is none. */
    private fun awaitReply(event: (CallId) -> ServiceEvent): ServiceReply? =
        mailboxes.use { id, ring ->
            events.put(event(CallId(id)))
            ring.takeAll(limit = 1).firstOrNull()
        }
}
