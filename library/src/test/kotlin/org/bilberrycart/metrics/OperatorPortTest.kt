package org.bilberrycart.metrics

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.bilberrycart.decode.Digests
import org.bilberrycart.model.DataCentreId
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.ServiceId
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.model.VmId
import org.bilberrycart.settings.Endpoint
import org.http4k.client.JettyClient
import org.http4k.core.Method
import org.http4k.core.Method.GET
import org.http4k.core.Method.POST
import org.http4k.core.Request

private const val KEY = "operator-example-key"

private class FakeStatus(private val readiness: Readiness) : NodeStatus {
    override fun readiness(): Readiness = readiness

    override fun report() = StatusReport(
        vm = VmId("vm-1"),
        dataCentre = DataCentreId("dc-1"),
        readiness = "ready",
        uptimeMillis = 5_000,
        waiting = listOf(
            WaitingGroup(
                OrganisationId("club"),
                ServiceId("drafts"),
                RequestClass.LONG_DRAFT,
                WaitCause.UPSTREAM,
                requests = 3,
                longestMillis = 250,
            ),
        ),
    )
}

private data class OperatorCase(
    val method: Method,
    val path: String,
    val status: Int,
    val body: String = "",
    val key: String? = null,
    val readiness: Readiness = Readiness.Ready,
    val hasRoom: Boolean = true,
    val change: OperatorChange? = null,
) : WithDataTestName {
    override fun dataTestName(): String = "$method $path with key $key gives $status ($body)"
}

class OperatorPortTest :
    FunSpec({
        context("reading needs no key, and changes need the operator key") {
            withData(
                OperatorCase(GET, "/health", 200, "alive"),
                OperatorCase(GET, "/ready", 200, "ready"),
                OperatorCase(
                    GET,
                    "/ready",
                    503,
                    "no configuration",
                    readiness = Readiness.NotReady("no configuration"),
                ),
                OperatorCase(GET, "/metrics", 200, "counters here"),
                OperatorCase(GET, "/status", 200, "waiting 3 long_draft of club at drafts"),
                OperatorCase(GET, "/status.json", 200, """"cause":"upstream","requests":3"""),
                OperatorCase(POST, "/drain", 401, "1010"),
                OperatorCase(POST, "/drain", 401, "1010", key = "wrong"),
                OperatorCase(
                    POST,
                    "/drain",
                    202,
                    key = KEY,
                    change = OperatorChange.Drain,
                ),
                OperatorCase(POST, "/drain", 503, "2008", key = KEY, hasRoom = false),
                OperatorCase(
                    POST,
                    "/upstreams/u-1/leave",
                    202,
                    key = KEY,
                    change = OperatorChange.UpstreamLeaving(UpstreamId("u-1")),
                ),
                OperatorCase(GET, "/drain", 405),
                OperatorCase(GET, "/nothing", 404),
            ) { case ->
                var taken: OperatorChange? = null
                val changes = OperatorChanges { change ->
                    if (case.hasRoom) taken = change
                    case.hasRoom
                }
                val hash = Digests.sha256Hex(KEY)
                val api = OperatorApi(FakeStatus(case.readiness), changes, hash) { "counters here" }
                val request = Request(case.method, case.path)
                    .let {
                        if (case.key ==
                            null
                        ) {
                            it
                        } else {
                            it.header("Authorization", "Bearer ${case.key}")
                        }
                    }
                val response = api.handler()(request)
                response.status.code shouldBe case.status
                response.bodyString() shouldContain case.body
                taken shouldBe case.change
            }
        }

        test("the port serves the status over HTTP") {
            val api =
                OperatorApi(FakeStatus(Readiness.Ready), { true }, operatorKeyHash = "") { "" }
            OperatorPort(Endpoint("127.0.0.1", port = 0), api).start().use { port ->
                JettyClient().use { client ->
                    client(Request(GET, "http://${port.bound}/status")).bodyString() shouldContain
                        "vm vm-1 in dc-1: ready"
                }
            }
        }
    })
