package org.bilberrycart.health

import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.json.Json
import org.bilberrycart.model.Upstream
import org.bilberrycart.pipeline.Ring
import org.bilberrycart.routing.LoadReport
import org.eclipse.jetty.client.BufferingResponseListener
import org.eclipse.jetty.client.HttpClient
import org.eclipse.jetty.client.Result

/** Asks upstreams for their load over HTTP; the answers go into [ring]. */
public class LoadClient(
    private val ring: Ring<HealthEvent>,
    private val timeout: Duration = 500.milliseconds,
) : AutoCloseable {
    private val json = Json { ignoreUnknownKeys = true }
    private val client = HttpClient().apply { start() }

    /** Polls [upstream] without waiting for it. */
    public fun poll(upstream: Upstream) {
        val listener = object : BufferingResponseListener(MAX_REPLY_BYTES) {
            override fun onComplete(result: Result) {
                ring.offer(toEvent(upstream, result, contentAsString.orEmpty()))
            }
        }
        client.newRequest("http://${upstream.address}:${upstream.port}/v1/load")
            .timeout(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            .send(listener)
    }

    override fun close(): Unit = client.stop()

    private fun toEvent(upstream: Upstream, result: Result, body: String): HealthEvent {
        if (result.isFailed || result.response.status != STATUS_OK) {
            return HealthEvent.Failed(upstream.id)
        }
        return runCatching { json.decodeFromString(LoadReport.serializer(), body) }
            .fold({ HealthEvent.Answered(upstream.id, it) }, { HealthEvent.Failed(upstream.id) })
    }

    private companion object {
        const val STATUS_OK = 200
        const val MAX_REPLY_BYTES = 65_536
    }
}
