package org.bilberrycart.gateway.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import java.net.Socket
import java.nio.ByteBuffer
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import org.bilberrycart.gateway.KnownRed
import org.eclipse.jetty.io.Content
import org.eclipse.jetty.server.Handler
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.util.Callback

private sealed class Step {
    /** The caller writes [text]. */
    data class Write(val text: String) : Step()

    /** The server sends the answer to the oldest request without one. */
    data object Answer : Step()

    /** The caller closes its connection in both directions. */
    data object Close : Step()

    /** The server looks whether the caller has closed, before its selector tells. */
    data class Look(val hasClosed: Boolean) : Step()

    /** The server begins the watch of its first request only now. */
    data object BeginLate : Step()

    /** The caller closes only its sending side. */
    data object EndOutput : Step()

    /** The caller's connection is reset. */
    data object Reset : Step()

    /** The server reports [event] next. */
    data class Expect(val event: String) : Step()

    /** The server reports nothing more for QUIET_MILLIS. */
    data object ExpectNothing : Step()
}

/** @property isWatching whether the selector watches; without it a close is seen by looking. */
private data class WatchCase(
    val name: String,
    val steps: List<Step>,
    val isWatching: Boolean = true,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private fun get(path: String) = Step.Write("GET $path HTTP/1.1\r\nHost: h\r\n\r\n")

private const val TIMEOUT_SECONDS = 20L
private const val MAX_BODY_BYTES = 1000
private const val QUIET_MILLIS = 300L
private val ANSWER = "x".toByteArray()

/** Records each request and each caller that closes, and answers a request on demand. */
private class WatchedServer(isWatching: Boolean) : AutoCloseable {
    val events = LinkedBlockingQueue<String>()
    val open = LinkedBlockingQueue<() -> Unit>()
    val watches = LinkedBlockingQueue<CloseWatch.Watch>()
    private val server = Server()
    private val connector = CloseWatchConnector(server, HttpConnectionFactory(HttpConfiguration()))

    init {
        server.addConnector(connector)
        server.handler = object : Handler.Abstract.NonBlocking() {
            override fun handle(request: Request, response: Response, callback: Callback): Boolean {
                val path = request.httpURI.path
                Content.Source.asByteArrayAsync(request, MAX_BODY_BYTES).whenComplete { _, _ ->
                    val watch = CloseWatch.prepare(request) { events += "gone $path" }!!
                    if (isWatching) watch.begin()
                    watches += watch
                    open += { response.write(true, ByteBuffer.wrap(ANSWER), callback) }
                    events += "request $path"
                }
                return true
            }
        }
        connector.host = "127.0.0.1"
        server.start()
    }

    fun connect() = Socket("127.0.0.1", connector.localPort)

    override fun close() = server.stop()
}

class CloseWatchTest :
    FunSpec({
        fun run(server: WatchedServer, socket: Socket, step: Step): Unit = when (step) {
            is Step.Write -> socket.getOutputStream().write(step.text.toByteArray())
            Step.Answer -> server.open.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)!!.invoke()
            Step.Close -> socket.close()
            Step.EndOutput -> socket.shutdownOutput()
            Step.Reset -> {
                socket.setSoLinger(true, 0)
                socket.close()
            }
            is Step.Look -> {
                Thread.sleep(QUIET_MILLIS)
                server.watches.last().hasClosed() shouldBe step.hasClosed
                Unit
            }
            Step.BeginLate -> server.watches.first().begin()
            is Step.Expect -> {
                server.events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS) shouldBe step.event
                Unit
            }
            Step.ExpectNothing -> {
                server.events.poll(QUIET_MILLIS, TimeUnit.MILLISECONDS) shouldBe null
                Unit
            }
        }

        val asked = listOf(get("/a"), Step.Expect("request /a"))

        withData(
            WatchCase("a caller that waits is not reported as gone", asked + Step.ExpectNothing),
            WatchCase(
                "a caller that closes is reported as gone",
                asked + Step.Close + Step.Expect("gone /a") + Step.ExpectNothing,
            ),
            WatchCase(
                "a caller that closes only its sending side is reported as gone",
                asked + Step.EndOutput + Step.Expect("gone /a"),
            ),
            WatchCase(
                "a caller whose connection is reset is reported as gone",
                asked + Step.Reset + Step.Expect("gone /a"),
            ),
            WatchCase(
                "a caller that closes after its answer is not told of",
                asked + Step.Answer + Step.Close + Step.ExpectNothing,
            ),
            WatchCase(
                "a caller that waits is not taken for one that has closed",
                asked + Step.Look(false) + Step.Answer,
                isWatching = false,
            ),
            WatchCase(
                "a close that the selector has not reported is seen by looking",
                asked + Step.Close + Step.Look(true) + Step.Expect("gone /a"),
                isWatching = false,
            ),
            WatchCase(
                "a close that the selector has reported is still seen by looking",
                asked + Step.Close + Step.Expect("gone /a") + Step.Look(true),
            ),
            WatchCase(
                "looking keeps a pipelined request",
                asked + get("/b") + Step.Look(false) + Step.Answer + Step.Expect("request /b"),
                isWatching = false,
            ),
            WatchCase(
                "a pipelined request in two parts keeps both after a look",
                asked + Step.Write("GET /b HTTP/1.1\r\n") + Step.Look(false) +
                    Step.Write("Host: h\r\n\r\n") + Step.ExpectNothing + Step.Answer +
                    Step.Expect("request /b"),
            ),
            WatchCase(
                "a request that is answered before the watch begins leaves no watch behind",
                asked + Step.Answer + Step.BeginLate + get("/b") + Step.Expect("request /b") +
                    Step.Answer + Step.Close + Step.ExpectNothing,
                isWatching = false,
            ),
            WatchCase(
                "a next request on the connection is read after the answer",
                asked + Step.Answer + get("/b") + Step.Expect("request /b"),
            ),
            WatchCase(
                "a pipelined request is kept until the first answer is sent",
                asked + get("/b") + Step.ExpectNothing + Step.Answer + Step.Expect("request /b"),
            ),
            WatchCase(
                "a caller that leaves during its second request has gone",
                asked + Step.Answer + get("/b") + Step.Expect("request /b") + Step.Close +
                    Step.Expect("gone /b"),
            ),
        ) { case ->
            KnownRed.check("CloseWatchTest/${case.name}") {
                WatchedServer(case.isWatching).use { server ->
                    server.connect().use { socket ->
                        case.steps.forEach { run(server, socket, it) }
                    }
                }
            }
        }
    })
