package org.bilberrycart.standins.http

import java.net.StandardSocketOptions
import java.nio.channels.SocketChannel
import org.eclipse.jetty.io.EndPoint
import org.eclipse.jetty.io.SocketChannelEndPoint
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.thread.QueuedThreadPool
import org.http4k.core.HttpHandler
import org.http4k.server.toJettyHandler

/**
 * The HTTP server of a stand-in, which can die and come back on the same port.
 *
 * It listens on a second port for control, which stays open while the stand-in is dead.
 */
class StandInServer(address: HostAddress, private val handler: HttpHandler) : AutoCloseable {
    private val server = Server(QueuedThreadPool(address.threads).apply { name = "standin-http" })
    private val data = connector(address.host, address.port)
    private val control = connector(address.host, address.controlPort)

    /** The port that serves requests; the same one after [die] and [revive]. */
    val port: Int
        get() = data.port

    /** The port that serves control requests even while the stand-in is dead. */
    val controlPort: Int
        get() = control.localPort

    /** Starts to listen on both ports. */
    fun start() {
        server.handler = handler.toJettyHandler(false)
        server.start()
        data.port = data.localPort
    }

    /** Resets all connections and refuses new ones until [revive]. */
    fun die() {
        data.close()
        data.connectedEndPoints.forEach(::reset)
        data.stop()
    }

    /** Listens again after [die]. */
    fun revive() = data.start()

    /** Resets the connection whose remote end has port [connection]. */
    fun reset(connection: Int) =
        data.connectedEndPoints.filter { it.remotePort == connection }.forEach(::reset)

    /** Returns the remote ports of the open connections. */
    fun connections(): List<Int> = data.connectedEndPoints.mapNotNull { it.remotePort }

    override fun close() {
        die()
        server.stop()
    }

    private fun connector(host: String, port: Int) =
        ServerConnector(server, ACCEPTORS, SELECTORS).also {
            it.host = host
            it.port = port
            it.idleTimeout = IDLE_TIMEOUT_MILLIS
            it.acceptQueueSize = ACCEPT_QUEUE_SIZE
            server.addConnector(it)
        }

    private fun reset(endPoint: EndPoint) {
        val channel = (endPoint as? SocketChannelEndPoint)?.channel as? SocketChannel ?: return
        runCatching { channel.setOption(StandardSocketOptions.SO_LINGER, 0) }
        runCatching { channel.close() }
        endPoint.close()
    }

    private val EndPoint.remotePort: Int?
        get() = (remoteSocketAddress as? java.net.InetSocketAddress)?.port

    private companion object {
        const val ACCEPTORS = 1
        const val SELECTORS = 2
        const val IDLE_TIMEOUT_MILLIS = 3_600_000L
        const val ACCEPT_QUEUE_SIZE = 2_048
    }
}
