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

/** Sends the duty the event made for an exchange id and returns the answer made from its reply. */
typealias Exchange = (
    event: (exchangeId: Long) -> StandInEvent,
    answer: (StandInReply) -> Response,
) -> Response

/** The HTTP paths of the platform stand-in. */
class PlatformRoutes(private val exchange: Exchange) {
    private val json = Json { ignoreUnknownKeys = true }

    /** The handler for all paths. */
    val handler: HttpHandler = routes(
        "/v1/transact" bind POST to { request ->
            val groups = json.decodeFromString<TransactionMessage>(request.bodyString()).groups
            respond { StandInEvent.Transact(it, groups) }
        },
        "/v1/rows/{key:.+}" bind GET to { request ->
            respond { StandInEvent.ReadRow(it, request.pathParameter("key")) }
        },
        "/v1/scan/{table}" bind GET to { request ->
            val prefix = request.query("prefix").orEmpty()
            respond { StandInEvent.Scan(it, request.pathParameter("table"), prefix) }
        },
        "/v1/objects/{name:.+}" bind PUT to { request ->
            respond {
                StandInEvent.PutObject(it, request.pathParameter("name"), request.bodyString())
            }
        },
        "/v1/objects/{name:.+}" bind GET to { request ->
            respond { StandInEvent.GetObject(it, request.pathParameter("name")) }
        },
        "/v1/weights/{name:.+}" bind GET to { request ->
            respond { StandInEvent.GetWeights(it, request.pathParameter("name")) }
        },
        "/v1/vms" bind GET to { respond { StandInEvent.ListVms(it) } },
        "/v1/vms/{id}" bind PUT to { request ->
            val vm = json.decodeFromString<VmMessage>(request.bodyString())
            respond { StandInEvent.SetVm(it, vm.copy(id = request.pathParameter("id"))) }
        },
        "/v1/vms/{id}" bind DELETE to { request ->
            respond { StandInEvent.RemoveVm(it, request.pathParameter("id")) }
        },
        "/v1/faults" bind PUT to { request ->
            val faults = json.decodeFromString<PlatformFaults>(request.bodyString())
            respond { StandInEvent.SetFaults(it, faults) }
        },
        "/v1/counters" bind GET to { respond { StandInEvent.ReadCounters(it) } },
    )

    private fun respond(event: (exchangeId: Long) -> StandInEvent): Response =
        exchange(event, ::answer)

    private fun Request.pathParameter(name: String): String = checkNotNull(path(name)) {
        "no $name: $uri"
    }

    private fun answer(reply: StandInReply): Response = when (reply) {
        is StandInReply.Results -> ok(json.encodeToString(ResultsMessage(reply.results)))
        is StandInReply.Found -> ok(json.encodeToString(reply.row))
        is StandInReply.Rows -> ok(json.encodeToString(RowsMessage(reply.rows)))
        is StandInReply.Vms -> ok(json.encodeToString(VmsMessage(reply.vms)))
        is StandInReply.Content -> Response(Status.OK).body(reply.value)
        is StandInReply.Counters -> ok(json.encodeToString(reply.counters))
        StandInReply.Accepted -> Response(Status.NO_CONTENT)
        StandInReply.NotFound -> Response(Status.NOT_FOUND)
        StandInReply.RateLimited -> notExecuted(Status.TOO_MANY_REQUESTS)
        StandInReply.Unavailable -> notExecuted(Status.SERVICE_UNAVAILABLE)
        StandInReply.AnswerLost -> Response(Status.GATEWAY_TIMEOUT)
    }

    private fun notExecuted(status: Status): Response =
        Response(status).header(HttpTableClient.NO_EFFECT, "true")

    private fun ok(body: String): Response =
        Response(Status.OK).header("Content-Type", "application/json").body(body)
}
