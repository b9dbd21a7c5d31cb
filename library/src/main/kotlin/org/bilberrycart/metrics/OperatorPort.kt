package org.bilberrycart.metrics

import org.bilberrycart.http.HttpServer
import org.bilberrycart.settings.Endpoint

/** Serves an [OperatorApi] on a port separate from that of callers. */
public class OperatorPort(endpoint: Endpoint, api: OperatorApi) : AutoCloseable {
    private val server = HttpServer(endpoint, threads = THREADS, handler = api.handler())

    /** The address and the actual port on which the server listens. */
    public val bound: Endpoint
        get() = server.bound

    /** Starts the server and returns this port. */
    public fun start(): OperatorPort = apply { server.start() }

    override fun close(): Unit = server.close()

    private companion object {
        const val THREADS = 16
    }
}
