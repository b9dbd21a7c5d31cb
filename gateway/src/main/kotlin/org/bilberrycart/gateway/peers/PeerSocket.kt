package org.bilberrycart.gateway.peers

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.BoundDatagramSocket
import io.ktor.network.sockets.Datagram
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import java.util.concurrent.Executors
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.io.Buffer
import kotlinx.io.readByteArray
import org.slf4j.LoggerFactory

/**
 * Sends gossip messages as UDP datagrams, which may be lost, and passes each message that arrives
 * to [receive].
 *
 * @property onEnded called if an error ends receiving, so that no later message arrives.
 */
internal class PeerSocket(
    host: String,
    port: Int,
    private val onEnded: (cause: Throwable) -> Unit = {},
    private val receive: (GossipMessage) -> Unit,
) : AutoCloseable {
    private val selectorThread = thread("peers-select")
    private val ioThread = thread("peers-io")

    /**
     * Blocks its own thread while it waits. Sends that shared the thread would be delayed until
     * something arrives.
     */
    private val selector = SelectorManager(selectorThread)
    private val scope = CoroutineScope(SupervisorJob() + ioThread)

    /** The socket; only tests close it directly, as a fault would. */
    internal val socket: BoundDatagramSocket = runBlocking {
        aSocket(selector).udp().bind(InetSocketAddress(host, port))
    }

    /** Starts receiving messages. */
    fun start() {
        scope.launch { receiveAll() }
    }

    /** Sends [message] to each of [addresses]. */
    fun send(addresses: List<String>, message: GossipMessage) {
        val bytes = GossipCodec.encode(message)
        addresses.forEach { address -> scope.launch { sendOne(bytes, address) } }
    }

    override fun close() {
        scope.cancel()
        socket.close()
        selector.close()
        selectorThread.close()
        ioThread.close()
    }

    private suspend fun sendOne(bytes: ByteArray, address: String) {
        try {
            socket.send(Datagram(Buffer().apply { write(bytes) }, parse(address)))
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            // A peer may name an address that can't be used.
            log.debug("event=gossip_not_sent to={} cause={}", address, e.toString())
        }
    }

    private fun parse(address: String) = InetSocketAddress(
        address.substringBeforeLast(':'),
        address.substringAfterLast(':').toInt(),
    )

    /** Receives messages until [close]; any other end is reported. */
    private suspend fun receiveAll() {
        try {
            while (scope.isActive) receiveOne()
        } catch (e: Throwable) {
            if (scope.isActive) reportEnd(e)
            throw e
        }
    }

    /** Passes on the next message. A socket that can't receive once never receives again. */
    private suspend fun receiveOne() {
        val bytes = socket.receive().packet.readByteArray()
        val message = GossipCodec.decodeMessage(bytes) ?: return
        try {
            receive(message)
        } catch (e: Exception) {
            log.error("event=gossip_not_handled cause={}", e.toString(), e)
        }
    }

    private fun reportEnd(cause: Throwable) {
        // Logging may fail as well, for want of memory.
        try {
            log.error("event=peer_socket_ended cause={}", cause.toString(), cause)
        } finally {
            onEnded(cause)
        }
    }

    private fun thread(name: String) =
        Executors.newSingleThreadExecutor { Thread(it, name).apply { isDaemon = true } }
            .asCoroutineDispatcher()

    private companion object {
        val log = LoggerFactory.getLogger(PeerSocket::class.java)
    }
}
