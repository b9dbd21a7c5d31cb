package org.bilberrycart.http

import org.bilberrycart.settings.Endpoint
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.thread.QueuedThreadPool
import org.http4k.core.HttpHandler
import org.http4k.server.Http4kServer
import org.http4k.server.Jetty
import org.http4k.server.ServerConfig

/**
 * An http4k server on Jetty, bound to one address.
 *
 * @property endpoint the address and port to bind; port 0 selects a free port.
 * @property threads the size of the thread pool; each open stream occupies a thread.
 * @property headerBytes the largest size of the header of a request.
 */
public class HttpServer(
    private val endpoint: Endpoint,
    private val threads: Int,
    private val headerBytes: Int = DEFAULT_HEADER_BYTES,
    handler: HttpHandler,
) : AutoCloseable {
    private val jetty = Server(QueuedThreadPool(threads, MIN_THREADS))
    private val connector = ServerConnector(jetty, connectionFactory()).apply {
        host = endpoint.address
        port = endpoint.port
    }
    private val server: Http4kServer

    init {
        jetty.connectors = arrayOf(connector)
        server = Jetty(endpoint.port, ServerConfig.StopMode.Immediate, jetty).toServer(handler)
    }

    /** The endpoint on which the server listens, with the port that was bound. */
    public val bound: Endpoint
        get() = endpoint.copy(port = connector.localPort)

    /** Starts listening. */
    public fun start(): HttpServer = apply { server.start() }

    override fun close() {
        server.stop()
    }

    private fun connectionFactory(): HttpConnectionFactory {
        val configuration = HttpConfiguration().apply {
            requestHeaderSize = headerBytes
            sendServerVersion = false
        }
        return HttpConnectionFactory(configuration)
    }

    private companion object {
        const val MIN_THREADS = 8
        const val DEFAULT_HEADER_BYTES = 16_384
    }
}
