package org.bilberrycart.standins.platform

import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.bilberrycart.store.HttpTableClient
import org.http4k.core.HttpHandler
import org.http4k.core.Method.DELETE
import org.http4k.core.Method.GET
import org.http4k.core.Method.POST
import org.http4k.core.Method.PUT
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes

/** Runs one exchange with the duty: the event for a ticket, then the answer for its reply. */
typealias Exchange = (
    event: (ticket: Long) -> StandinEvent,
    answer: (StandinReply) -> Response,
) -> Response

/** The HTTP paths of the platform stand-in. */
class PlatformRoutes(private val exchange: Exchange) {
    private val json = Json { ignoreUnknownKeys = true }

    /** The handler for all paths. */
    val handler: HttpHandler = routes(
        "/v1/transact" bind POST to { request ->
            val groups = json.decodeFromString<TransactionMessage>(request.bodyString()).groups
            run { StandinEvent.Transact(it, groups) }
        },
        "/v1/rows/{key:.+}" bind GET to { request ->
            run { StandinEvent.ReadRow(it, request.part("key")) }
        },
        "/v1/scan/{table}" bind GET to { request ->
            val prefix = request.query("prefix").orEmpty()
            run { StandinEvent.Scan(it, request.part("table"), prefix) }
        },
        "/v1/objects/{name:.+}" bind PUT to { request ->
            run { StandinEvent.PutObject(it, request.part("name"), request.bodyString()) }
        },
        "/v1/objects/{name:.+}" bind GET to { request ->
            run { StandinEvent.GetObject(it, request.part("name")) }
        },
        "/v1/weights/{name:.+}" bind GET to { request ->
            run { StandinEvent.GetWeights(it, request.part("name")) }
        },
        "/v1/vms" bind GET to { run { StandinEvent.ListVms(it) } },
        "/v1/vms/{id}" bind PUT to { request ->
            val vm = json.decodeFromString<VmMessage>(request.bodyString())
            run { StandinEvent.SetVm(it, vm.copy(id = request.part("id"))) }
        },
        "/v1/vms/{id}" bind DELETE to { request ->
            run { StandinEvent.RemoveVm(it, request.part("id")) }
        },
        "/v1/faults" bind PUT to { request ->
            val faults = json.decodeFromString<Faults>(request.bodyString())
            run { StandinEvent.SetFaults(it, faults) }
        },
        "/v1/counters" bind GET to { run { StandinEvent.ReadCounters(it) } },
    )

    private fun run(event: (ticket: Long) -> StandinEvent): Response = exchange(event, ::answer)

    private fun Request.part(name: String): String = checkNotNull(path(name)) { "no $name: $uri" }

    private fun answer(reply: StandinReply): Response = when (reply) {
        is StandinReply.Results -> ok(json.encodeToString(ResultsMessage(reply.results)))
        is StandinReply.Found -> ok(json.encodeToString(reply.row))
        is StandinReply.Rows -> ok(json.encodeToString(RowsMessage(reply.rows)))
        is StandinReply.Vms -> ok(json.encodeToString(VmsMessage(reply.vms)))
        is StandinReply.Content -> Response(Status.OK).body(reply.value)
        is StandinReply.Counted -> ok(json.encodeToString(reply.counters))
        StandinReply.Accepted -> Response(Status.NO_CONTENT)
        StandinReply.Missing -> Response(Status.NOT_FOUND)
        StandinReply.OverRate -> notExecuted(Status.TOO_MANY_REQUESTS)
        StandinReply.Down -> notExecuted(Status.SERVICE_UNAVAILABLE)
        StandinReply.Lost -> Response(Status.GATEWAY_TIMEOUT)
    }

    private fun notExecuted(status: Status): Response =
        Response(status).header(HttpTableClient.NO_EFFECT, "true")

    private fun ok(body: String): Response =
        Response(Status.OK).header("Content-Type", "application/json").body(body)
}
