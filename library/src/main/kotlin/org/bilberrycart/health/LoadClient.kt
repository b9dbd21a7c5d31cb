package org.bilberrycart.health

import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.json.Json
import org.bilberrycart.http.contentAsUtf8
import org.bilberrycart.model.Upstream
import org.bilberrycart.pipeline.Ring
import org.bilberrycart.pipeline.Sink
import org.bilberrycart.routing.LoadReport
import org.eclipse.jetty.client.BufferingResponseListener
import org.eclipse.jetty.client.HttpClient
import org.eclipse.jetty.client.Result

/** Requests the load of upstreams over HTTP and puts the results into [ring]. */
public class LoadClient(
    private val ring: Ring<HealthEvent>,
    private val timeout: Duration = 500.milliseconds,
) : Sink<Upstream>,
    AutoCloseable {
    private val json = Json { ignoreUnknownKeys = true }
    private val client = HttpClient().apply { start() }

    /** Requests the load of the upstream [action] without waiting for the answer. */
    override fun accept(action: Upstream) {
        val listener = object : BufferingResponseListener(MAX_REPLY_BYTES) {
            override fun onComplete(result: Result) {
                ring.offer(toEvent(action, result, contentAsUtf8()))
            }
        }
        client.newRequest("http://${action.address}:${action.port}/v1/load")
            .timeout(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            .send(listener)
    }

    override fun close(): Unit = client.stop()

    private fun toEvent(upstream: Upstream, result: Result, body: String): HealthEvent {
        if (result.isFailed || result.response.status != STATUS_OK) {
            return HealthEvent.PollFailed(upstream.id)
        }
        return runCatching { json.decodeFromString(LoadReport.serializer(), body) }
            .fold(
                { HealthEvent.LoadReceived(upstream.id, it) },
                { HealthEvent.PollFailed(upstream.id) },
            )
    }

    private companion object {
        const val STATUS_OK = 200
        const val MAX_REPLY_BYTES = 65_536
    }
}
