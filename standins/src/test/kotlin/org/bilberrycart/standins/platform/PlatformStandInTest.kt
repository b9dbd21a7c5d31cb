package org.bilberrycart.standins.platform

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.store.Condition
import org.bilberrycart.store.HttpTableClient
import org.bilberrycart.store.Row
import org.bilberrycart.store.RowKey
import org.bilberrycart.store.RowWrite
import org.bilberrycart.store.StoreFailure
import org.bilberrycart.store.StoreReply
import org.bilberrycart.store.StoreResult
import org.bilberrycart.store.WriteGroup

private val key = RowKey("t", "a")

private fun insert(value: String) = WriteGroup.of(RowWrite(key, Condition.Absent, value))

private data class FaultCase(
    val name: String,
    val faults: String,
    val reply: StoreReply,
    val rowAfter: Boolean,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private fun refused(failure: StoreFailure, mayHaveApplied: Boolean) =
    StoreReply.Failed(failure, mayHaveApplied)

class PlatformStandInTest :
    FunSpec({
        context(
            "the client distinguishes calls without effect from calls that may have had an effect",
        ) {
            withData(
                FaultCase("down", """{"down":true}""", refused(StoreFailure.REFUSED, false), false),
                FaultCase(
                    "hanging",
                    """{"hang":true}""",
                    refused(StoreFailure.TIMED_OUT, true),
                    rowAfter = false,
                ),
                FaultCase(
                    "answer lost after the write",
                    """{"lostAnswers":1.0}""",
                    refused(StoreFailure.REFUSED, true),
                    rowAfter = true,
                ),
            ) { case ->
                withStandIn { client, port ->
                    put(port, "/v1/faults", case.faults)
                    call { client.transact(listOf(insert("v")), WAIT, it) } shouldBe case.reply
                    put(port, "/v1/faults", "{}")
                    val read = call { client.read(key, 5.seconds, it) }
                    val row = (read as StoreReply.Read).result as StoreResult.Found
                    (row.row != null) shouldBe case.rowAfter
                }
            }
        }

        test("of two inserts of one key in one transaction the second is a conflict") {
            withStandIn { client, _ ->
                val groups = listOf(insert("first"), insert("second"))
                val reply = call { client.transact(groups, 5.seconds, it) }
                (reply as StoreReply.Groups).results shouldBe listOf(
                    StoreResult.Applied(version = 1),
                    StoreResult.Conflict(key, Row(key, "first", version = 1)),
                )
            }
        }

        test("a call to a platform that does not listen is refused without effect") {
            val client = HttpTableClient("http://127.0.0.1:1")
            val reply = call { client.transact(listOf(insert("v")), 5.seconds, it) }
            reply shouldBe refused(StoreFailure.REFUSED, mayHaveApplied = false)
            client.close()
        }
    })

private val WAIT = 300.milliseconds

private fun call(send: ((StoreReply) -> Unit) -> Unit): StoreReply {
    val reply = CompletableFuture<StoreReply>()
    send { reply.complete(it) }
    return reply.get()
}

private fun put(port: Int, path: String, body: String) {
    val request = HttpRequest.newBuilder(URI("http://127.0.0.1:$port$path"))
        .PUT(HttpRequest.BodyPublishers.ofString(body))
        .build()
    HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.discarding())
}

private fun withStandIn(block: (HttpTableClient, Int) -> Unit) {
    PlatformStandIn().start().use { standIn ->
        HttpTableClient("http://127.0.0.1:${standIn.port}").use { block(it, standIn.port) }
    }
}
