package org.bilberrycart.gateway.http

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.eclipse.jetty.client.ContinueProtocolHandler
import org.eclipse.jetty.client.EarlyHintsProtocolHandler
import org.eclipse.jetty.client.HttpClient
import org.eclipse.jetty.client.ProcessingProtocolHandler
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP
import org.eclipse.jetty.http.HttpCookieStore
import org.eclipse.jetty.util.thread.QueuedThreadPool

/** Creates HTTP clients that add no headers or cookies and follow no redirects. */
public object HttpClients {
    private const val MAX_THREADS = 8
    private const val MIN_THREADS = 3
    private const val CONNECTIONS_PER_ADDRESS = 64
    private const val MAX_HEAD_BYTES = 32 * 1024
    private const val QUEUED_REQUESTS_PER_ADDRESS = 256
    private val CONNECT_TIMEOUT = 300.milliseconds
    private val IDLE_DESTINATION_TIMEOUT = 20.seconds

    /**
     * Returns a started client that closes a connection after [idle] without traffic.
     *
     * A connection ends as well when it brings 512 KiB that are no content of an answer. Requests
     * for whole answers use a [WholeAnswerListener], so that content is counted.
     *
     * The client's threads are named after [name].
     */
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
            maxResponseHeadersSize = MAX_HEAD_BYTES
            maxConnectionsPerDestination = CONNECTIONS_PER_ADDRESS
            maxRequestsQueuedPerDestination = QUEUED_REQUESTS_PER_ADDRESS
            destinationIdleTimeout = IDLE_DESTINATION_TIMEOUT.inWholeMilliseconds
            connectTimeout = CONNECT_TIMEOUT.inWholeMilliseconds
            start()
            contentDecoderFactories.clear()
            protocolHandlers.clear()
            // Without its handler, an interim answer is never followed by the final one.
            protocolHandlers.put(ContinueProtocolHandler())
            protocolHandlers.put(ProcessingProtocolHandler())
            protocolHandlers.put(EarlyHintsProtocolHandler())
        }
    }
}
