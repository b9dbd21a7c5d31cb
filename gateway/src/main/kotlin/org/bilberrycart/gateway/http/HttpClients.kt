package org.bilberrycart.gateway.http

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.eclipse.jetty.client.HttpClient
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP
import org.eclipse.jetty.http.HttpCookieStore
import org.eclipse.jetty.util.thread.QueuedThreadPool

/** Makes HTTP clients that send just what they are told: no redirects, cookies or own headers. */
public object HttpClients {
    private const val MAX_THREADS = 8
    private const val MIN_THREADS = 3
    private const val CONNECTIONS_PER_ADDRESS = 64
    private const val QUEUE_PER_ADDRESS = 256
    private val CONNECT_TIMEOUT = 300.milliseconds
    private val UNUSED_ADDRESS = 20.seconds

    /** Returns a started client whose connections are closed after [idle] without use. */
    public fun start(name: String, idle: Duration): HttpClient {
        val threads = QueuedThreadPool(MAX_THREADS, MIN_THREADS).apply { this.name = name }
        val connector = UpstreamConnector().apply {
            selectors = 1
            executor = threads
            connectTimeout = java.time.Duration.ofMillis(CONNECT_TIMEOUT.inWholeMilliseconds)
            idleTimeout = java.time.Duration.ofMillis(idle.inWholeMilliseconds)
        }
        return HttpClient(HttpClientTransportOverHTTP(connector)).apply {
            executor = threads
            isFollowRedirects = false
            userAgentField = null
            defaultRequestContentType = null
            httpCookieStore = HttpCookieStore.Empty()
            maxConnectionsPerDestination = CONNECTIONS_PER_ADDRESS
            maxRequestsQueuedPerDestination = QUEUE_PER_ADDRESS
            destinationIdleTimeout = UNUSED_ADDRESS.inWholeMilliseconds
            connectTimeout = CONNECT_TIMEOUT.inWholeMilliseconds
            start()
            contentDecoderFactories.clear()
            protocolHandlers.clear()
        }
    }
}
