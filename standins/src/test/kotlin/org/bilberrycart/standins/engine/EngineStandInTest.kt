package org.bilberrycart.standins.engine

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldStartWith
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.stream.Stream
import kotlin.streams.asSequence

private val client = HttpClient.newHttpClient()

private fun EngineStandIn.request(path: String, control: Boolean = false): HttpRequest.Builder {
    val to = if (control) controlPort else port
    return HttpRequest.newBuilder(URI("http://127.0.0.1:$to$path"))
}

private fun EngineStandIn.open(attempt: String, maxTokens: Int): HttpResponse<Stream<String>> {
    val body = """{"attempt":"$attempt","model":"m","prompt":"p","maxTokens":$maxTokens}"""
    val request = request("/v1/streams").POST(HttpRequest.BodyPublishers.ofString(body)).build()
    return client.send(request, HttpResponse.BodyHandlers.ofLines())
}

private fun EngineStandIn.text(path: String): String =
    client.send(request(path).build(), HttpResponse.BodyHandlers.ofString()).body()

private fun lines(source: TokenSource, indexes: IntRange): List<String> = indexes.flatMap {
    val text = source.token(it)
        .replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n")
    listOf("id: $it", """data: {"index":$it,"text":"$text"}""", "")
}

class EngineStandInTest :
    FunSpec({
        val source = TokenSource("p", "m")
        val settings = EngineSettings(stepMicros = 1_000, stepMicrosPerStream = 0)

        test("a stream has an accepted comment, an event for each token and a finish event") {
            EngineStandIn(settings).start().use { engine ->
                val length = expectedLength(source, 60)
                engine.open("a.1.1", 60).body().toList() shouldBe
                    listOf(": accepted", "") + lines(source, 0 until length) +
                    listOf("event: finish", """data: {"reason":"stop","tokens":$length}""", "")
            }
        }

        test("an ended stream can be read again from an index") {
            EngineStandIn(settings).start().use { engine ->
                engine.open("a.1.1", 20).body().count()
                val last = expectedLength(source, 20) - 1
                engine.text("/v1/streams/a.1.1?from=$last").lines() shouldStartWith
                    listOf(": accepted", "") + lines(source, last..last) + "event: finish"
            }
        }

        test(
            "a dead engine resets its connections, refuses new ones and restarts without streams",
        ) {
            EngineStandIn(settings).start().use { engine ->
                val reading = engine.open("a.1.1", 1_000_000).body().iterator()
                reading.next() shouldBe ": accepted"
                engine.injectFault(EngineFault.Die)
                shouldThrow<Exception> { reading.asSequence().count() }
                shouldThrow<IOException> { engine.text("/v1/health") }
                engine.injectFault(EngineFault.Restart)
                engine.text("/v1/load") shouldContain "\"incarnation\":2"
                engine.text("/v1/streams/a.1.1") shouldContain "no attempt a.1.1"
            }
        }

        test("a fault injected over HTTP is in force when the response arrives") {
            EngineStandIn(settings).start().use { engine ->
                val body = HttpRequest.BodyPublishers.ofString("""{"fault":"leave"}""")
                val request = engine.request("/standin/fault", control = true).POST(body).build()
                client.send(request, HttpResponse.BodyHandlers.ofString()).body() shouldContain
                    "\"leaving\":true"
                engine.open("a.1.1", 10).statusCode() shouldBe 503
            }
        }
    })
