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

/** Sends news as datagrams and hands those that come in to [receive]; some may be lost. */
internal class PeerSocket(host: String, port: Int, private val receive: (PeerNews) -> Unit) :
    AutoCloseable {
    private val waiting = thread("peers-select")
    private val working = thread("peers-io")

    /** Waits on its own thread: what shares it goes out only when something comes in. */
    private val selector = SelectorManager(waiting)
    private val scope = CoroutineScope(SupervisorJob() + working)
    private val socket: BoundDatagramSocket = runBlocking {
        aSocket(selector).udp().bind(InetSocketAddress(host, port))
    }

    /** Starts to receive. */
    fun start() {
        scope.launch { receiveAll() }
    }

    /** Sends [news] to each of [addresses]. */
    fun send(addresses: List<String>, news: PeerNews) {
        val bytes = PeerCodec.encode(news)
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
        waiting.close()
        working.close()
    }

    private suspend fun sendOne(bytes: ByteArray, to: InetSocketAddress) {
        try {
            socket.send(Datagram(Buffer().apply { write(bytes) }, to))
        } catch (e: IOException) {
            log.debug("event=news_not_sent to={} cause={}", to, e.toString())
        }
    }

    private suspend fun receiveAll() {
        while (scope.isActive) {
            val news = try {
                PeerCodec.news(socket.receive().packet.readByteArray())
            } catch (e: IOException) {
                log.warn("event=news_not_received cause={}", e.toString())
                null
            }
            if (news != null) receive(news)
        }
    }

    private fun thread(name: String) =
        Executors.newSingleThreadExecutor { Thread(it, name).apply { isDaemon = true } }
            .asCoroutineDispatcher()

    private companion object {
        val log = LoggerFactory.getLogger(PeerSocket::class.java)
    }
}
