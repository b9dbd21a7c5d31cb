package org.bilberrycart.gateway.peers

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.BoundDatagramSocket
import io.ktor.network.sockets.Datagram
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import java.io.IOException
import java.util.concurrent.Executors
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
 */
internal class PeerSocket(host: String, port: Int, private val receive: (GossipMessage) -> Unit) :
    AutoCloseable {
    private val selectorThread = thread("peers-select")
    private val ioThread = thread("peers-io")

    /**
     * Blocks its own thread while it waits. Sends that shared the thread would be delayed until
     * something arrives.
     */
    private val selector = SelectorManager(selectorThread)
    private val scope = CoroutineScope(SupervisorJob() + ioThread)
    private val socket: BoundDatagramSocket = runBlocking {
        aSocket(selector).udp().bind(InetSocketAddress(host, port))
    }

    /** Starts receiving messages. */
    fun start() {
        scope.launch { receiveAll() }
    }

    /** Sends [message] to each of [addresses]. */
    fun send(addresses: List<String>, message: GossipMessage) {
        val bytes = GossipCodec.encode(message)
        addresses.forEach { address ->
            val to = InetSocketAddress(
                address.substringBeforeLast(':'),
                address.substringAfterLast(':').toInt(),
            )
            scope.launch { sendOne(bytes, to) }
        }
    }

    override fun close() {
        scope.cancel()
        socket.close()
        selector.close()
        selectorThread.close()
        ioThread.close()
    }

    private suspend fun sendOne(bytes: ByteArray, to: InetSocketAddress) {
        try {
            socket.send(Datagram(Buffer().apply { write(bytes) }, to))
        } catch (e: IOException) {
            log.debug("event=gossip_not_sent to={} cause={}", to, e.toString())
        }
    }

    private suspend fun receiveAll() {
        while (scope.isActive) {
            val message = try {
                GossipCodec.decodeMessage(socket.receive().packet.readByteArray())
            } catch (e: IOException) {
                log.warn("event=gossip_not_received cause={}", e.toString())
                null
            }
            if (message != null) receive(message)
        }
    }

    private fun thread(name: String) =
        Executors.newSingleThreadExecutor { Thread(it, name).apply { isDaemon = true } }
            .asCoroutineDispatcher()

    private companion object {
        val log = LoggerFactory.getLogger(PeerSocket::class.java)
    }
}
