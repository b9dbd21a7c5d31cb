package org.bilberrycart.gateway.http

import org.bilberrycart.gateway.model.RequestLimits
import org.eclipse.jetty.http.HttpCompliance
import org.eclipse.jetty.http.UriCompliance
import org.eclipse.jetty.server.ConnectionFactory
import org.eclipse.jetty.server.Handler
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.Callback
import org.eclipse.jetty.util.thread.QueuedThreadPool

/** The HTTP server of a node, with one address for callers and others for status requests. */
internal class GatewayHttpServer(
    callers: Address,
    status: List<Address>,
    callerHandler: Handler,
    private val statusHandler: Handler,
) : AutoCloseable {
    /** A host and port to listen on. */
    data class Address(val host: String, val port: Int)

    private val threads = QueuedThreadPool(MAX_THREADS, MIN_THREADS).apply { name = "http" }
    private val server = Server(threads)
    private val callerConfiguration = newConfiguration()
    private val callerConnector =
        CloseWatchConnector(server, HttpConnectionFactory(callerConfiguration)).listen(callers)

    init {
        server.addConnector(callerConnector)
        status.forEach { address ->
            val http: ConnectionFactory = HttpConnectionFactory(newConfiguration())
            server.addConnector(
                ServerConnector(server, null, null, null, 0, 1, http).listen(address),
            )
        }
        server.handler = ConnectorRouter(callerHandler)
        server.stopAtShutdown = false
    }

    /** Starts listening on all addresses. */
    fun start() = server.start()

    /**
     * Applies [limits] to new connections of callers, and a longer idle limit to open ones too.
     *
     * An open connection keeps a limit that was longer: its caller may still count on that.
     */
    fun setLimits(limits: RequestLimits) {
        setIdleTimeout(limits.idleTimeout.inWholeMilliseconds)
        callerConfiguration.requestHeaderSize = limits.headerBytes
        callerConnector.maxRequestBytes = limits.headerBytes + limits.bodyBytes * FRAMING_FACTOR
    }

    private fun setIdleTimeout(millis: Long) {
        callerConnector.idleTimeout = millis
        // A stopping server has shortened the limits of its connections.
        if (callerConnector.isShutdown) return
        callerConnector.connectedEndPoints
            .filter { it.idleTimeout < millis }
            .forEach { it.idleTimeout = millis }
    }

    /**
     * Stops accepting connections from callers, and closes each when it has been idle for
     * [IDLE_BEFORE_CLOSE_MILLIS].
     */
    fun stopAccepting() {
        callerConnector.shutdownIdleTimeout = IDLE_BEFORE_CLOSE_MILLIS
        callerConnector.shutdown()
    }

    override fun close() = server.stop()

    private fun newConfiguration() = HttpConfiguration().apply {
        sendServerVersion = false
        sendDateHeader = false
        responseHeaderSize = MAX_ANSWER_HEAD_BYTES
        httpCompliance = HttpCompliance.RFC7230
        uriCompliance = UriCompliance.UNSAFE
    }

    private fun <T : ServerConnector> T.listen(address: Address): T = apply {
        host = address.host
        port = address.port
        acceptQueueSize = ACCEPT_QUEUE
    }

    /** Routes each request to the handler for the connector that received it. */
    private inner class ConnectorRouter(private val callerHandler: Handler) :
        Handler.Abstract.NonBlocking() {
        override fun doStart() {
            callerHandler.server = this@GatewayHttpServer.server
            statusHandler.server = this@GatewayHttpServer.server
            callerHandler.start()
            statusHandler.start()
            super.doStart()
        }

        override fun handle(request: Request, response: Response, callback: Callback): Boolean {
            val isCaller = request.connectionMetaData.connector === callerConnector
            val handler = if (isCaller) callerHandler else statusHandler
            return handler.handle(request, response, callback)
        }
    }

    private companion object {
        /** A body in chunks of a byte each takes six times its length. */
        const val FRAMING_FACTOR = 8L

        /** More than the head of an upstream's answer, all of which is passed on. */
        const val MAX_ANSWER_HEAD_BYTES = 64 * 1024
        const val MAX_THREADS = 10
        const val MIN_THREADS = 4
        const val ACCEPT_QUEUE = 512
        const val IDLE_BEFORE_CLOSE_MILLIS = 50L
    }
}
