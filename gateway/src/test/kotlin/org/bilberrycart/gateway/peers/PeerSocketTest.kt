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

/** Well below the 500 ms for which the selector of the socket waits when nothing arrives. */
private val SEND_TIME_LIMIT = 200.milliseconds

private const val RECEIVE_TIMEOUT_MILLIS = 5_000L

class PeerSocketTest :
    FunSpec({
        fun freePort(): Int = DatagramSocket(0).use { it.localPort }

        context("a message is sent at once although none arrives") {
            withData(nameFn = { "message $it" }, 1L, 2L, 3L) { sequence ->
                val received = LinkedBlockingQueue<GossipMessage>()
                val port = freePort()
                PeerSocket(HOST, port, received::add).use { receiver ->
                    PeerSocket(HOST, freePort()) {}.use { sender ->
                        receiver.start()
                        sender.start()
                        Thread.sleep(SELECTOR_START_MILLIS)
                        val message = GossipMessage("a:1", incarnation = 1, sequence = sequence)
                        val start = TimeSource.Monotonic.markNow()
                        sender.send(listOf("$HOST:$port"), message)
                        received.poll(RECEIVE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS) shouldBe
                            message
                        start.elapsedNow() shouldBeLessThan SEND_TIME_LIMIT
                    }
                }
            }
        }
    })

/** Long enough for both selectors to be waiting. */
private const val SELECTOR_START_MILLIS = 120L
