package org.bilberrycart.gateway.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.gateway.Samples
import org.bilberrycart.gateway.model.AttemptKey
import org.bilberrycart.gateway.model.CallKey
import org.bilberrycart.gateway.model.RetryRule
import org.bilberrycart.gateway.model.UpstreamEntry
import org.bilberrycart.gateway.placement.PlacementEvent
import org.bilberrycart.gateway.placement.SendOrder

/**
 * Answers that are received at the same time.
 *
 * @property unfinished the sizes of bodies that have begun and bring nothing more.
 * @property complete the size of the complete body that comes after them.
 * @property outcomes of the unfinished ones in their order, then of the complete one.
 */
private data class LimitCase(
    val name: String,
    val unfinished: List<Int>,
    val complete: Int,
    val outcomes: List<String>,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private const val TIMEOUT_SECONDS = 20L
private const val SETTLE_MILLIS = 300L

/**
 * Answers the request `r`[number] with a body of [sent] bytes of the [announced] ones and keeps the
 * connection open.
 */
private class BodyUpstream(
    private val number: Int,
    private val sent: Int,
    private val announced: Int,
) : AutoCloseable {
    private val server = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
    private val closed = CountDownLatch(1)
    val entry: UpstreamEntry = Samples.entry("u").copy(host = "127.0.0.1", port = server.localPort)

    init {
        thread(isDaemon = true) {
            server.accept().use { socket ->
                socket.getInputStream().read(ByteArray(REQUEST_BYTES))
                val head = "HTTP/1.1 200 OK\r\nX-Id: r$number\r\nContent-Length: $announced\r\n\r\n"
                socket.getOutputStream().write(head.toByteArray() + ByteArray(sent))
                socket.getOutputStream().flush()
                closed.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)
            }
        }
    }

    override fun close() {
        closed.countDown()
        server.close()
    }

    private companion object {
        const val REQUEST_BYTES = 8192
    }
}

class AnswerLimitsTest :
    FunSpec({
        val http = HttpClients.start("test", 30.seconds)
        afterSpec { http.stop() }
        val limits = AnswerLimits(answerBytes = 1_000_000, totalBytes = 1_500_000)

        // Guards against endless answers that take the memory of a node, or the answers of others.
        context("answers over a limit are cancelled, the longest first, and no others") {
            withData(
                LimitCase("within all limits", listOf(500_000), 500_000, listOf("open", "whole")),
                LimitCase("one too long", listOf(1_200_000), 9_000, listOf("broken", "whole")),
                LimitCase(
                    "a short answer beside long ones",
                    listOf(900_000, 590_000),
                    20_000,
                    listOf("broken", "open", "whole"),
                ),
                LimitCase(
                    "many answers that are all short",
                    listOf(400_000, 400_000, 400_000),
                    200_000,
                    listOf("open", "open", "open", "whole"),
                ),
            ) { case ->
                val outcomes = ConcurrentHashMap<Long, String>()
                val lastEnded = CountDownLatch(1)
                val client = UpstreamClient(
                    http,
                    TestProtocol,
                    placement = { event ->
                        val (number, outcome) = when (event) {
                            is PlacementEvent.Answered -> event.attempt.call.number to "whole"
                            is PlacementEvent.AttemptFailed -> event.attempt.call.number to "broken"
                            else -> error("unexpected $event")
                        }
                        outcomes[number] = outcome
                        if (number == case.unfinished.size.toLong()) lastEnded.countDown()
                    },
                    relay = {},
                    limits = limits,
                )
                val bodies = case.unfinished.map { it to it + 1 } + (case.complete to case.complete)
                val upstreams = bodies.mapIndexed { number, (sent, announced) ->
                    BodyUpstream(number, sent, announced)
                }
                upstreams.forEachIndexed { number, upstream ->
                    client.send(order(number.toLong(), upstream.entry), lastEvent = null)
                    Thread.sleep(SETTLE_MILLIS)
                }
                lastEnded.await(TIMEOUT_SECONDS, TimeUnit.SECONDS) shouldBe true
                upstreams.indices.map { outcomes[it.toLong()] ?: "open" } shouldBe case.outcomes
                upstreams.forEach { it.close() }
            }
        }
    })

private fun order(number: Long, upstream: UpstreamEntry) = SendOrder(
    attempt = AttemptKey(CallKey(number), 1),
    call = Samples.call(Samples.route(RetryRule.AtMostOnce), key = number),
    upstream = upstream,
    timeLeft = 30.seconds,
)
