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

private enum class End { CLOSE, RESET }

private data class AnswerCase(
    val name: String,
    val answer: String,
    val end: End,
    val isWhole: Boolean,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private const val NO_LENGTH = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart"
private const val LENGTH = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart"
private const val TOO_SHORT = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"
private const val CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"
private const val LONGEST_WAIT_SECONDS = 20L

class AnswerEndTest :
    FunSpec({
        val client = HttpClients.start("test", 5.seconds)
        afterSpec { client.stop() }

        /** Sends [case]'s answer once the request is there, and ends the connection as it says. */
        fun serve(socket: Socket, case: AnswerCase, hasAnswer: CompletableFuture<Unit>) {
            socket.use {
                it.getInputStream().read()
                it.getOutputStream().write(case.answer.toByteArray())
                it.getOutputStream().flush()
                hasAnswer.get(LONGEST_WAIT_SECONDS, TimeUnit.SECONDS)
                if (case.end == End.RESET) it.setSoLinger(true, 0)
            }
        }

        withData(
            AnswerCase("without a length, closed", NO_LENGTH, End.CLOSE, isWhole = true),
            AnswerCase("without a length, reset", NO_LENGTH, End.RESET, isWhole = false),
            AnswerCase("with its length, closed", LENGTH, End.CLOSE, isWhole = true),
            AnswerCase("shorter than its length, closed", TOO_SHORT, End.CLOSE, isWhole = false),
            AnswerCase("in chunks without the last, closed", CHUNKED, End.CLOSE, isWhole = false),
            AnswerCase("in chunks without the last, reset", CHUNKED, End.RESET, isWhole = false),
        ) { case ->
            ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
                val hasAnswer = CompletableFuture<Unit>()
                val result = CompletableFuture<Boolean>()
                thread(isDaemon = true) { serve(server.accept(), case, hasAnswer) }
                client.newRequest("http://127.0.0.1:${server.localPort}/")
                    .onResponseContent { _, _ -> hasAnswer.complete(Unit) }
                    .send { result.complete(it.isSucceeded) }
                result.get(LONGEST_WAIT_SECONDS, TimeUnit.SECONDS) shouldBe case.isWhole
            }
        }
    })
