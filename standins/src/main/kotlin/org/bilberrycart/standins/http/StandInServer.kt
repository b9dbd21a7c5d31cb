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
 * The HTTP server of a stand-in, which can die and be revived on the same port.
 *
 * It also listens on a control port, which stays open while the stand-in is dead.
 */
class StandInServer(settings: HostSettings, private val handler: HttpHandler) : AutoCloseable {
    private val server = Server(QueuedThreadPool(settings.threads).apply { name = "standin-http" })
    private val requestConnector = connector(settings.host, settings.port)
    private val controlConnector = connector(settings.host, settings.controlPort)

    /** The port that serves requests; the same one after [die] and [revive]. */
    val port: Int
        get() = requestConnector.port

    /** The port that serves control requests even while the stand-in is dead. */
    val controlPort: Int
        get() = controlConnector.localPort

    /** Starts to listen on both ports. */
    fun start() {
        server.handler = handler.toJettyHandler(false)
        server.start()
        requestConnector.port = requestConnector.localPort
    }

    /** Resets all connections and refuses new ones until [revive]. */
    fun die() {
        requestConnector.close()
        requestConnector.connectedEndPoints.forEach(::reset)
        requestConnector.stop()
    }

    /** Listens again after [die]. */
    fun revive() = requestConnector.start()

    /** Resets the connection with the remote port [connection]. */
    fun reset(connection: Int) =
        requestConnector.connectedEndPoints.filter { it.remotePort == connection }.forEach(::reset)

    /** Returns the remote ports of the open connections. */
    fun connections(): List<Int> = requestConnector.connectedEndPoints.mapNotNull { it.remotePort }

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
