package org.bilberrycart.bench.traffic

import java.nio.ByteBuffer
import java.util.concurrent.TimeUnit
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.bilberrycart.dispatch.EventStreamReader
import org.bilberrycart.model.Token
import org.bilberrycart.settings.Endpoint
import org.eclipse.jetty.client.HttpClient
import org.eclipse.jetty.client.Request
import org.eclipse.jetty.client.StringRequestContent
import org.eclipse.jetty.http.HttpMethod
import org.eclipse.jetty.util.thread.QueuedThreadPool

/** Sends requests and reads their answers asynchronously. */
class Caller : AutoCloseable {
    private val client = HttpClient().apply {
        executor = QueuedThreadPool(THREADS).apply { name = "caller" }
        maxConnectionsPerDestination = MAX_CONNECTIONS
        maxRequestsQueuedPerDestination = MAX_CONNECTIONS
        idleTimeout = 0
        start()
    }

    /** Sends [arrival] to [target] and reports the answer to [listener]. */
    fun start(target: CallerTarget, arrival: Arrival, listener: CallerListener) {
        val endpoint = target.endpointOf(arrival)
        val request = when (target) {
            is CallerTarget.Engines ->
                post(endpoint, "/v1/streams", json.encodeToString(arrival.toStreamRequest()))
            is CallerTarget.Nodes ->
                post(
                    endpoint,
                    "/v1/generations",
                    json.encodeToString(arrival.toDraft(target.service)),
                ).headers { headers ->
                    val organisation = arrival.organisation
                    headers.put(
                        "Authorization",
                        "Bearer $organisation:${apiKeyOf(organisation.value)}",
                    )
                }
        }
        AnswerExchange(listener).send(request)
    }

    override fun close() = client.stop()

    private fun post(endpoint: Endpoint, path: String, body: String): Request =
        client.newRequest("http://$endpoint$path")
            .method(HttpMethod.POST)
            .timeout(TIMEOUT_MINUTES, TimeUnit.MINUTES)
            .body(StringRequestContent("application/json", body))

    /** Reads one answer. The HTTP client calls it from one thread at a time. */
    private class AnswerExchange(private val listener: CallerListener) {
        private val reader = EventStreamReader()
        private var error = ""
        private var hasFinished = false

        fun send(request: Request) {
            request.onResponseContent { response, content ->
                contentArrived(response.status, content)
            }
                .send { result ->
                    val cause = result.failure?.javaClass?.simpleName ?: "ended early"
                    if (!hasFinished) listener.failed(error.ifEmpty { cause })
                }
        }

        private fun contentArrived(status: Int, content: ByteBuffer) {
            val now = System.nanoTime()
            val bytes = ByteArray(content.remaining()).also { content.get(it) }
            if (status != STATUS_OK) {
                error += bytes.toString(Charsets.UTF_8)
            } else {
                reader.feed(bytes) { eventArrived(it, now) }
            }
        }

        private fun eventArrived(event: EventStreamReader.StreamEvent, now: Long) =
            when (event.event) {
                "" -> {
                    val token = json.decodeFromString(Token.serializer(), event.data)
                    listener.tokenArrived(token.index, token.text, now)
                }
                "finish" -> {
                    hasFinished = true
                    listener.finished()
                }
                else -> error = event.data
            }
    }

    companion object {
        /** Returns the API key of [organisation] in all runs of the bench. */
        fun apiKeyOf(organisation: String): String = "$organisation-key"

        /** Returns the result name in the [body] of a failure, or the start of [body]. */
        fun failureNameOf(body: String): String {
            val element: JsonElement? = runCatching { json.parseToJsonElement(body) }.getOrNull()
            val name = (element as? JsonObject)?.get("name") as? JsonPrimitive
            return name?.content ?: body.take(MAX_NAME_CHARS)
        }

        private val json = Json { encodeDefaults = true }
        private const val THREADS = 64
        private const val MAX_CONNECTIONS = 8_192
        private const val TIMEOUT_MINUTES = 30L
        private const val STATUS_OK = 200
        private const val MAX_NAME_CHARS = 80
    }
}
