package org.bilberrycart.gateway.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

private enum class ConnectionEnd { CLOSE, RESET }

private data class ConnectionEndCase(
    val name: String,
    val answer: String,
    val end: ConnectionEnd,
    val isComplete: Boolean,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private const val NO_LENGTH = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart"
private const val LENGTH = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart"
private const val TOO_SHORT = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"
private const val CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"
private const val TIMEOUT_SECONDS = 20L

class UpstreamConnectionEndTest :
    FunSpec({
        val client = HttpClients.start("test", 5.seconds)
        afterSpec { client.stop() }

        /** Sends [case]'s answer once a request arrives, then closes or resets the connection. */
        fun serve(
            socket: Socket,
            case: ConnectionEndCase,
            answerReceived: CompletableFuture<Unit>,
        ) {
            socket.use {
                it.getInputStream().read()
                it.getOutputStream().write(case.answer.toByteArray())
                it.getOutputStream().flush()
                answerReceived.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                if (case.end == ConnectionEnd.RESET) it.setSoLinger(true, 0)
            }
        }

        withData(
            ConnectionEndCase(
                "without Content-Length, closed",
                NO_LENGTH,
                ConnectionEnd.CLOSE,
                isComplete = true,
            ),
            ConnectionEndCase(
                "without Content-Length, reset",
                NO_LENGTH,
                ConnectionEnd.RESET,
                isComplete = false,
            ),
            ConnectionEndCase(
                "with Content-Length, closed",
                LENGTH,
                ConnectionEnd.CLOSE,
                isComplete = true,
            ),
            ConnectionEndCase(
                "shorter than Content-Length, closed",
                TOO_SHORT,
                ConnectionEnd.CLOSE,
                isComplete = false,
            ),
            ConnectionEndCase(
                "chunked without the last chunk, closed",
                CHUNKED,
                ConnectionEnd.CLOSE,
                isComplete = false,
            ),
            ConnectionEndCase(
                "chunked without the last chunk, reset",
                CHUNKED,
                ConnectionEnd.RESET,
                isComplete = false,
            ),
        ) { case ->
            ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
                val answerReceived = CompletableFuture<Unit>()
                val result = CompletableFuture<Boolean>()
                thread(isDaemon = true) { serve(server.accept(), case, answerReceived) }
                client.newRequest("http://127.0.0.1:${server.localPort}/")
                    .onResponseContent { _, _ -> answerReceived.complete(Unit) }
                    .send { result.complete(it.isSucceeded) }
                result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS) shouldBe case.isComplete
            }
        }
    })
