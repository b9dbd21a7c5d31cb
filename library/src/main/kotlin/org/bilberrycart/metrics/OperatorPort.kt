package org.bilberrycart.metrics

import org.bilberrycart.http.HttpServer
import org.bilberrycart.settings.Endpoint

/** Serves an [OperatorApi] on a port of its own, apart from that of callers. */
public class OperatorPort(endpoint: Endpoint, api: OperatorApi) : AutoCloseable {
    private val server = HttpServer(endpoint, threads = THREADS, handler = api.handler())

    /** Where the server listens, with the port that was taken. */
    public val bound: Endpoint
        get() = server.bound

    /** Starts listening. */
    public fun start(): OperatorPort = apply { server.start() }

    override fun close(): Unit = server.close()

    private companion object {
        const val THREADS = 16
    }
}
