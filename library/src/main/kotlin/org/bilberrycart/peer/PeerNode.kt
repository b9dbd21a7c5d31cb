package org.bilberrycart.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import java.io.IOException
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.bilberrycart.membership.Member
import org.bilberrycart.membership.PeerAddress
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.pipeline.Duty
import org.bilberrycart.pipeline.Ring
import org.slf4j.LoggerFactory

/**
 * Connects one node to its peers: sends what is put into [commands] and reports into [events].
 *
 * A thread that adds to [commands] never waits for a peer. When [events] is full, the link whose
 * message does not fit is closed, and the peer sends its state again over a new link.
 */
public class PeerNode(
    private val settings: PeerSettings,
    private val events: Ring<PeerEvent>,
    public val counters: PeerCounters = PeerCounters(),
    clock: Clock = Clock(),
) : AutoCloseable {
    private val selector = SelectorManager(Dispatchers.IO)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val server: ServerSocket = runBlocking {
        aSocket(selector).tcp().bind(settings.self.address, settings.self.port) {
            reuseAddress = true
        }
    }

    /** The messages to send and links to open; the ring refuses more when it is full. */
    public val commands: Ring<LinksEvent> = Ring("peer", COMMAND_CAPACITY)

    /** This node, with the port on which it actually listens. */
    public val self: Member =
        settings.self.copy(port = (server.localAddress as InetSocketAddress).port)

    private val handshake = LinkHandshake(self, settings.secret)
    private val duty = Duty("peer", commands, LinksState(), LinksFilter(), clock, ::perform)

    /** A snapshot of the state of the links. */
    public val snapshot: LinksState
        get() = duty.snapshot

    /** Starts to accept connections and to execute commands. */
    public fun start(): PeerNode = apply {
        duty.start()
        scope.launch { accept() }
    }

    override fun close() {
        duty.close()
        scope.cancel()
        server.close()
        selector.close()
    }

    private fun perform(action: LinksAction): Unit = when (action) {
        is LinksAction.Dial -> dial(action.address)
        is LinksAction.Write -> write(action)
        is LinksAction.NotifyConnected -> notifyConnected(action.member)
        is LinksAction.CountUnsent -> counters.unsent.add(action.messages.toLong())
    }

    private fun write(action: LinksAction.Write) {
        if (!action.link.offer(action.message)) counters.unsent.increment()
    }

    private fun notifyConnected(member: Member) {
        events.offer(PeerEvent.Connected(member))
    }

    private suspend fun accept() {
        while (scope.isActive) {
            try {
                val socket = server.accept()
                scope.launch { runLink(socket, dialled = null) }
            } catch (e: IOException) {
                log.warn("event=accept_failed cause={}", e.toString())
                delay(ACCEPT_RETRY_DELAY)
            }
        }
    }

    private fun dial(address: PeerAddress) {
        scope.launch {
            try {
                val socket = withTimeout(settings.dialTimeout) {
                    aSocket(selector).tcp().connect(address.host, address.port) { noDelay = true }
                }
                runLink(socket, address)
            } catch (e: Exception) {
                dialFailed(address, e)
            }
        }
    }

    private fun dialFailed(address: PeerAddress, cause: Exception) {
        counters.dialFailures.increment()
        log.debug("event=dial_failed address={} cause={}", address, cause.toString())
        commands.put(LinksEvent.DialFailed(address))
    }

    private suspend fun runLink(socket: Socket, dialled: PeerAddress?) {
        val input = socket.openReadChannel()
        val output = socket.openWriteChannel(autoFlush = false)
        val peer = try {
            withTimeout(settings.handshakeTimeout) {
                handshake.run(input, output, isDialler = dialled != null)
            }
        } catch (e: Exception) {
            socket.close()
            handshakeFailed(e, dialled)
            return
        }
        val link = SocketLink(peer, socket, settings, counters)
        counters.opened.increment()
        commands.put(LinksEvent.Opened(link, dialled))
        try {
            link.run(input, output) { events.offer(PeerEvent.Received(peer, it)) }
        } catch (e: IOException) {
            log.debug("event=link_lost peer={} cause={}", peer.vm, e.toString())
        } finally {
            counters.closed.increment()
            commands.put(LinksEvent.Closed(link))
        }
    }

    private fun handshakeFailed(cause: Exception, dialled: PeerAddress?) {
        if (dialled == null || cause is HandshakeRefused) {
            counters.refused.increment()
            log.warn("event=peer_refused dialled={} cause={}", dialled, cause.toString())
        }
        if (dialled != null) dialFailed(dialled, cause)
    }

    private companion object {
        const val COMMAND_CAPACITY = 8192
        val ACCEPT_RETRY_DELAY = 100.milliseconds
        val log = LoggerFactory.getLogger(PeerNode::class.java)
    }
}
