package org.bilberrycart.gateway.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.gateway.model.Body
import org.eclipse.jetty.client.BufferingResponseListener
import org.eclipse.jetty.client.Result
import org.eclipse.jetty.http.HttpVersion
import org.eclipse.jetty.server.Handler
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.Callback

/**
 * What a caller gets of an answer that is written by [steps].
 *
 * @property outcome `STATUS BODY`, or `broken` if the answer is recognizably incomplete.
 */
private data class ExchangeCase(
    val name: String,
    val steps: List<(CallerExchange) -> Unit>,
    val outcome: String,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

/** The connection of a caller, which the node or the caller may want to close after the answer. */
private data class ConnectionCase(
    val name: String,
    val version: HttpVersion = HttpVersion.HTTP_1_1,
    val callerCloses: Boolean = false,
    val nodeCloses: Boolean = false,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private const val TIMEOUT_SECONDS = 20L
private const val WRITE_INTERVAL_MILLIS = 5L

private val open =
    { exchange: CallerExchange -> Unit.also { exchange.openStream(200, emptyList()) } }
private val write = { exchange: CallerExchange ->
    val written = CountDownLatch(1)
    exchange.write(Body.of("part ")) { written.countDown() }
    check(written.await(TIMEOUT_SECONDS, TimeUnit.SECONDS))
}
private val complete = { exchange: CallerExchange -> exchange.complete() }
private val refuse =
    { exchange: CallerExchange -> exchange.answer(503, emptyList(), Body.of("refused")) }
private val abort = { exchange: CallerExchange -> exchange.abort("test") }

class CallerExchangeTest :
    FunSpec({
        val client = HttpClients.start("caller", 5.seconds)
        afterSpec { client.stop() }

        fun serve(steps: List<(CallerExchange) -> Unit>, connection: ConnectionCase): Server =
            Server().apply {
                addConnector(ServerConnector(this))
                handler = object : Handler.Abstract() {
                    override fun handle(request: Request, response: Response, callback: Callback) =
                        true.also {
                            val exchange = CallerExchange(
                                request,
                                response,
                                callback,
                                shouldClose = { connection.nodeCloses },
                            )
                            steps.forEach { it(exchange) }
                        }
                }
                start()
            }

        fun outcome(server: Server, connection: ConnectionCase): String {
            val seen = CompletableFuture<String>()
            val port = (server.connectors.single() as ServerConnector).localPort
            val request = client.newRequest("http://127.0.0.1:$port/").version(connection.version)
            if (connection.callerCloses) request.headers { it.put("Connection", "close") }
            request.send(
                object : BufferingResponseListener() {
                    override fun onComplete(result: Result) {
                        val answer = result.response?.status.toString() + " " + contentAsString
                        seen.complete(if (result.isFailed) "broken" else answer)
                    }
                },
            )
            return seen.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
        }

        val exchanges = listOf(
            ExchangeCase("a whole answer", listOf(refuse), "503 refused"),
            ExchangeCase("a whole stream", listOf(open, write, write, complete), "200 part part "),
            ExchangeCase("a stream that is aborted", listOf(open, write, abort), "broken"),
            ExchangeCase("an answer after a stream began", listOf(open, write, refuse), "broken"),
            ExchangeCase("an answer after a stream opened", listOf(open, refuse), "broken"),
            ExchangeCase("a stream after an answer", listOf(refuse, open), "503 refused"),
        )

        // Guards against a stream that goes on at further engines for a caller that left (GONE).
        context("a caller that leaves in mid-stream is reported by the write that fails") {
            withData(nameFn = { if (it) "by a reset" else "by a close" }, true, false) { isReset ->
                val gone = CountDownLatch(1)
                val first = CountDownLatch(1)
                val leave: (CallerExchange) -> Unit = { exchange ->
                    exchange.onCallerGone = gone::countDown
                    exchange.openStream(200, emptyList())
                    writeUntil(exchange, gone, onWritten = first::countDown)
                }
                val server = serve(listOf(leave), ConnectionCase("kept"))
                val port = (server.connectors.single() as ServerConnector).localPort
                Socket("127.0.0.1", port).use { socket ->
                    socket.getOutputStream().write(
                        "GET / HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray(),
                    )
                    first.await(TIMEOUT_SECONDS, TimeUnit.SECONDS) shouldBe true
                    socket.setSoLinger(isReset, 0)
                }
                gone.await(TIMEOUT_SECONDS, TimeUnit.SECONDS) shouldBe true
                server.stop()
            }
        }

        // Guards against a broken stream that looks complete since its connection closes (ORDER).
        withData(
            ConnectionCase("a connection that is kept"),
            ConnectionCase("a node that closes", nodeCloses = true),
            ConnectionCase("a caller that closes", callerCloses = true),
            ConnectionCase(
                "a caller and a node that close",
                callerCloses = true,
                nodeCloses = true,
            ),
            ConnectionCase("a caller of HTTP/1.0", HttpVersion.HTTP_1_0),
        ) { connection ->
            withData(exchanges) { case ->
                val server = serve(case.steps, connection)
                try {
                    outcome(server, connection) shouldBe case.outcome
                } finally {
                    server.stop()
                }
            }
        }
    })

/** Writes to [exchange] again and again until [gone] is counted down. */
private fun writeUntil(exchange: CallerExchange, gone: CountDownLatch, onWritten: () -> Unit) {
    thread(isDaemon = true) {
        while (!gone.await(WRITE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)) {
            exchange.write(Body.of("part "), onWritten)
        }
    }
}
