package org.bilberrycart.peer

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import java.util.concurrent.atomic.LongAdder
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import org.bilberrycart.membership.Member
import org.bilberrycart.membership.MembershipMessage
import org.bilberrycart.model.DataCentreId
import org.bilberrycart.model.VmId
import org.bilberrycart.pipeline.Ring

private const val SECRET = "a secret of the fleet"
private val LIMIT = 20.seconds

private class TestNode(name: String, secret: String = SECRET) : AutoCloseable {
    val ring = Ring<PeerEvent>("events", capacity = 64)
    val node = PeerNode(
        PeerSettings(
            Member(VmId(name), "127.0.0.1", 0, DataCentreId("dc1")),
            secret,
            maxFrameBytes = 10_000,
            silenceTimeout = 400.milliseconds,
            heartbeatInterval = 100.milliseconds,
        ),
        ring,
    ).start()

    fun send(to: TestNode, sequence: Long) {
        val ping = MembershipMessage.Ping(sequence, 1, emptyList())
        node.commands.put(LinksEvent.Send(to.node.self, PeerMessage.Membership(ping)))
    }

    fun next(): PeerEvent.Received? {
        val start = TimeSource.Monotonic.markNow()
        while (start.elapsedNow() < LIMIT) {
            val event = ring.takeAll(limit = 1, wait = LIMIT).singleOrNull()
            if (event is PeerEvent.Received) return event
        }
        return null
    }

    override fun close() = node.close()
}

private data class MalformedFrameCase(val name: String, val bytes: ByteArray, val counter: String) :
    WithDataTestName {
    override fun dataTestName() = name
}

private fun frame(size: Int, vararg bytes: Byte) = byteArrayOf(
    (size shr 24).toByte(),
    (size shr 16).toByte(),
    (size shr 8).toByte(),
    size.toByte(),
) +
    bytes

private suspend fun LongAdder.shouldReach(count: Long) =
    withTimeout(LIMIT) { while (sum() < count) delay(5.milliseconds) }

class PeerNodeTest :
    FunSpec({
        test("messages arrive in order over one link, with the authenticated sender") {
            TestNode("a").use { a ->
                TestNode("b").use { b ->
                    (1L..50L).forEach { a.send(b, it) }
                    val received = (1..50).map { b.next().shouldNotBeNull() }
                    received.map { it.from.vm }.toSet() shouldBe setOf(VmId("a"))
                    received.map { (it.message as PeerMessage.Membership).message }
                        .map { (it as MembershipMessage.Ping).sequence } shouldBe (1L..50L).toList()
                    b.node.counters.opened.sum() shouldBe 1
                }
            }
        }

        test("a node with another secret is refused and counted") {
            TestNode("a", secret = "some other secret").use { outsider ->
                TestNode("b").use { b ->
                    outsider.send(b, 1)
                    b.node.counters.refused.shouldReach(1)
                    outsider.node.counters.unsent.shouldReach(1)
                    b.node.counters.opened.sum() shouldBe 0
                    b.ring.takeAll(wait = 0.seconds) shouldBe emptyList()
                }
            }
        }

        context("a malformed frame closes its own link only") {
            withData(
                MalformedFrameCase("not CBOR", frame(3, 1, 2, 3), "malformed"),
                MalformedFrameCase("larger than the limit", frame(10_001), "malformed"),
                MalformedFrameCase("negative size", frame(-1), "malformed"),
                MalformedFrameCase("nothing, as on a half-open link", byteArrayOf(), "timedOut"),
            ) { case ->
                TestNode("a").use { a ->
                    TestNode("b").use { b ->
                        a.send(b, 1)
                        b.next().shouldNotBeNull()
                        SelectorManager(Dispatchers.IO).use { selector ->
                            val socket = aSocket(
                                selector,
                            ).tcp().connect("127.0.0.1", b.node.self.port)
                            val output = socket.openWriteChannel()
                            val self = Member(VmId("c"), "127.0.0.1", 1, DataCentreId("dc1"))
                            LinkHandshake(self, SECRET)
                                .run(socket.openReadChannel(), output, isDialler = true)
                            output.writeFully(case.bytes)
                            output.flush()
                            val counters = b.node.counters
                            val counter =
                                if (case.counter ==
                                    "timedOut"
                                ) {
                                    counters.timedOut
                                } else {
                                    counters.malformed
                                }
                            counter.shouldReach(1)
                            socket.close()
                        }
                        a.send(b, 2)
                        b.next().shouldNotBeNull()
                        a.node.counters.opened.sum() shouldBe 1
                    }
                }
            }
        }

        test("a restarted peer is reached over a new link") {
            TestNode("a").use { a ->
                val first = TestNode("b")
                a.send(first, 1)
                first.next().shouldNotBeNull()
                first.close()
                a.node.counters.closed.shouldReach(1)
                TestNode("b").use { second ->
                    a.send(second, 2)
                    second.next().shouldNotBeNull()
                }
            }
        }

        test("a connection that starts with an empty frame is refused") {
            TestNode("b").use { b ->
                SelectorManager(Dispatchers.IO).use { selector ->
                    val socket = aSocket(selector).tcp().connect("127.0.0.1", b.node.self.port)
                    socket.openWriteChannel(autoFlush = true).writeInt(0)
                    b.node.counters.refused.shouldReach(1)
                    socket.close()
                }
            }
        }
    })
