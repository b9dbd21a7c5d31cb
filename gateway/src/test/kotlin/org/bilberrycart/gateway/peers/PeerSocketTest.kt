package org.bilberrycart.gateway.peers

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.net.DatagramSocket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

private const val HOST = "127.0.0.1"

/** Well below the half second for which the socket's selector waits when nothing comes in. */
private val SOON = 200.milliseconds

private const val PATIENCE_MILLIS = 5_000L

class PeerSocketTest :
    FunSpec({
        fun freePort(): Int = DatagramSocket(0).use { it.localPort }

        context("news leave at once though nothing comes in") {
            withData(nameFn = { "message $it" }, 1L, 2L, 3L) { sequence ->
                val received = LinkedBlockingQueue<PeerNews>()
                val port = freePort()
                PeerSocket(HOST, port, received::add).use { receiver ->
                    PeerSocket(HOST, freePort()) {}.use { sender ->
                        receiver.start()
                        sender.start()
                        Thread.sleep(PAUSE_MILLIS)
                        val news = PeerNews("a:1", incarnation = 1, sequence = sequence)
                        val start = TimeSource.Monotonic.markNow()
                        sender.send(listOf("$HOST:$port"), news)
                        received.poll(PATIENCE_MILLIS, TimeUnit.MILLISECONDS) shouldBe news
                        start.elapsedNow() shouldBeLessThan SOON
                    }
                }
            }
        }
    })

/** Long enough for both selectors to be waiting. */
private const val PAUSE_MILLIS = 120L
