package org.bilberrycart.metrics

import kotlinx.serialization.json.Json
import org.bilberrycart.decode.Digests
import org.bilberrycart.model.ResultCode
import org.bilberrycart.model.UpstreamId
import org.http4k.core.HttpHandler
import org.http4k.core.Method.GET
import org.http4k.core.Method.POST
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.core.then
import org.http4k.filter.ServerFilters
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes

/**
 * The HTTP API for operators and the metrics scraper.
 *
 * `GET` needs no authentication; `POST` needs `Authorization: Bearer` with the operator key.
 *
 * @property operatorKeyHash the SHA-256 hash of the operator key, in lower-case hexadecimal.
 * @property scrape returns all metrics in the Prometheus text format.
 */
public class OperatorApi(
    private val status: NodeStatus,
    private val changes: OperatorChanges,
    private val operatorKeyHash: String,
    private val scrape: () -> String,
) {
    /** Returns the handler of all routes. */
    public fun handler(): HttpHandler = routes(
        "/health" bind GET to { text("alive\n") },
        "/ready" bind GET to { ready() },
        "/metrics" bind GET to ServerFilters.GZip().then { text(scrape(), METRICS_TYPE) },
        "/status" bind GET to { text(StatusText.of(status.report())) },
        "/status.json" bind GET to { text(Json.encodeToString(status.report()), JSON_TYPE) },
        "/drain" bind POST to { http -> change(http, OperatorChange.Drain) },
        "/upstreams/{upstream}/leave" bind POST to ::leave,
    )

    private fun ready(): Response = when (val readiness = status.readiness()) {
        Readiness.Ready -> text("ready\n")
        is Readiness.NotReady ->
            text("${readiness.reason}\n").status(Status.SERVICE_UNAVAILABLE)
    }

    private fun leave(http: Request): Response {
        val upstream = UpstreamId(http.path("upstream").orEmpty())
        return change(http, OperatorChange.UpstreamLeaving(upstream))
    }

    private fun change(http: Request, change: OperatorChange): Response {
        val key = http.header("Authorization")?.removePrefix("Bearer ").orEmpty()
        return when {
            !Digests.isKeyOf(key, operatorKeyHash) -> failure(ResultCode.UNAUTHENTICATED)
            !changes.request(change) -> failure(ResultCode.RING_FULL)
            else -> text("accepted\n").status(Status.ACCEPTED)
        }
    }

    private fun failure(code: ResultCode): Response =
        text("${code.number} ${code.name}\n").status(Status(code.status, code.name))

    private fun text(body: String, type: String = TEXT_TYPE): Response =
        Response(Status.OK).header("Content-Type", type).body(body)

    private companion object {
        const val TEXT_TYPE = "text/plain; charset=utf-8"
        const val JSON_TYPE = "application/json; charset=utf-8"
        const val METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
    }
}
