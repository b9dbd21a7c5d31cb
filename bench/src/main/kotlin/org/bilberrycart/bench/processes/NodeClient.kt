package org.bilberrycart.bench.processes

import java.util.concurrent.TimeUnit
import org.bilberrycart.dispatch.EventStreamReader
import org.bilberrycart.pipeline.Ring
import org.eclipse.jetty.client.HttpClient
import org.eclipse.jetty.client.Request
import org.eclipse.jetty.client.StringRequestContent
import org.eclipse.jetty.http.HttpMethod
import org.eclipse.jetty.util.thread.QueuedThreadPool

/** A part of a node's reply to a request; the last part is [Ended]. */
sealed class NodeReply {
    /** One event of a streamed answer. */
    data class Event(val event: EventStreamReader.StreamEvent) : NodeReply()

    /**
     * The exchange ended.
     *
     * @property status the HTTP status; 0 if the exchange failed.
     * @property body the body of the response; empty if the response was an event stream.
     */
    data class Ended(val status: Int, val body: String) : NodeReply()
}

/** Sends requests to nodes and writes the replies to each request into a ring of its own. */
class NodeClient(private val fleet: ProcessFleet) : AutoCloseable {
    private val client = HttpClient().apply {
        executor = QueuedThreadPool(THREADS).apply { name = "soak-client" }
        maxConnectionsPerDestination = CONNECTIONS
        maxRequestsQueuedPerDestination = CONNECTIONS
        connectTimeout = CONNECT_MILLIS
        idleTimeout = 0
        start()
    }

    /** Creates a POST request with the JSON text [body] to [path] on the node [node]. */
    fun post(node: Int, path: String, body: String): Request =
        request(node, path).method(HttpMethod.POST)
            .body(StringRequestContent("application/json", body))

    /** Creates a GET request for [path] on the node [node]. */
    fun get(node: Int, path: String): Request = request(node, path)

    /** Sends [request] and returns the ring of its replies; [Request.abort] ends the exchange. */
    fun send(request: Request): Ring<NodeReply> {
        val ring = Ring<NodeReply>("replies", RING_CAPACITY)
        val reader = EventStreamReader()
        val text = StringBuilder()
        request.onResponseContent { response, content ->
            val bytes = ByteArray(content.remaining()).also { content.get(it) }
            if (response.headers["Content-Type"].orEmpty().startsWith("text/event-stream")) {
                reader.feed(bytes) { ring.put(NodeReply.Event(it)) }
            } else {
                text.append(bytes.toString(Charsets.UTF_8))
            }
        }.send { result ->
            val status = if (result.isSucceeded) result.response.status else 0
            ring.put(NodeReply.Ended(status, text.toString()))
        }
        return ring
    }

    override fun close() = client.stop()

    private fun request(node: Int, path: String): Request =
        client.newRequest(fleet.address(node) + path)
            .timeout(TIMEOUT_MINUTES, TimeUnit.MINUTES)
            .headers {
                val credential = "${SettingsFolders.ORGANISATION}:${SettingsFolders.KEY}"
                it.put("Authorization", "Bearer $credential")
            }

    private companion object {
        const val THREADS = 64
        const val CONNECTIONS = 2_048
        const val CONNECT_MILLIS = 1_000L
        const val TIMEOUT_MINUTES = 5L
        const val RING_CAPACITY = 4_096
    }
}
