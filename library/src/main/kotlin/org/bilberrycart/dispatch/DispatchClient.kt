package org.bilberrycart.dispatch

import java.util.concurrent.TimeUnit
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.Placement
import org.bilberrycart.model.RepeatMode
import org.bilberrycart.model.ServiceCall
import org.bilberrycart.model.Upstream
import org.bilberrycart.pipeline.Sink
import org.eclipse.jetty.client.DuplexConnectionPool
import org.eclipse.jetty.client.HttpClient
import org.eclipse.jetty.client.StringRequestContent
import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.http.HttpMethod

/**
 * Carries out [DispatchAction]s over HTTP without blocking on an upstream.
 *
 * All exchanges are asynchronous and report to [output]. Probes, reopened streams, cancellations
 * and calls that may run at most once use new connections, because a pooled connection may have
 * stopped delivering packets without being closed.
 */
public class DispatchClient(
    private val settings: DispatchClientSettings = DispatchClientSettings(),
    private val output: UpstreamOutput,
) : Sink<DispatchAction>,
    AutoCloseable {
    private val client = newClient(settings).apply { start() }
    private var exchanges: PersistentMap<AttemptId, Exchange> = persistentMapOf()

    override fun accept(action: DispatchAction) {
        when (action) {
            is DispatchAction.Open -> open(action.placement, action.upstream)
            is DispatchAction.Abort -> abort(action.attempt, action.upstream)
            is DispatchAction.Detach -> detach(action.attempt)
            is DispatchAction.SendProbe -> probe(action.attempt, action.upstream)
            is DispatchAction.Reopen -> reopen(action)
            is DispatchAction.Remove -> exchanges = exchanges.remove(action.attempt)
            is DispatchAction.NotSent -> output.notSent(action)
        }
    }

    override fun close(): Unit = client.stop()

    private fun open(placement: Placement, upstream: Upstream) {
        output.placed(placement, upstream)
        when (val request = placement.request) {
            is GenerationRequest -> openStream(placement, request, upstream)
            is ServiceCall -> sendCall(placement.attempt, request, upstream)
        }
    }

    private fun openStream(placement: Placement, request: GenerationRequest, upstream: Upstream) {
        val body = EngineMessages.encodeStart(placement, request)
        val http = client.newRequest(upstream.uri("/v1/streams"))
            .method(HttpMethod.POST)
            .body(StringRequestContent(JSON, body))
        start(StreamExchange(placement.attempt, request, upstream, http, output))
    }

    private fun sendCall(attempt: AttemptId, request: ServiceCall, upstream: Upstream) {
        val path = "/v1/calls/${request.operation}"
        val http = when (request.repeatMode) {
            RepeatMode.NEVER -> newConnectionRequest(upstream, path)
            RepeatMode.KEYED, RepeatMode.IDEMPOTENT -> client.newRequest(upstream.uri(path))
        }
        http.method(HttpMethod.POST)
            .headers { headers ->
                headers.put(ATTEMPT_HEADER, attempt.toString())
                request.key?.let { headers.put(KEY_HEADER, it.value) }
            }
            .body(StringRequestContent(JSON, request.body))
        start(
            CallExchange(attempt, request, upstream, http, output, settings.maxReplyBytes),
        )
    }

    private fun reopen(action: DispatchAction.Reopen) {
        val previous = exchanges[action.attempt] ?: return
        previous.abort()
        val http = newConnectionRequest(
            action.upstream,
            "/v1/streams/${action.attempt}?from=${action.from}",
        )
        start(StreamExchange(action.attempt, previous.request, previous.upstream, http, output))
    }

    private fun start(exchange: Exchange) {
        exchanges = exchanges.put(exchange.attempt, exchange)
        exchange.start()
    }

    private fun abort(attempt: AttemptId, upstream: Upstream) {
        val exchange = exchanges[attempt] ?: return
        exchanges = exchanges.remove(attempt)
        if (exchange.abort()) output.aborted(attempt, exchange.request, upstream)
        if (exchange.request is GenerationRequest) {
            newConnectionRequest(upstream, "/v1/streams/$attempt")
                .method(HttpMethod.DELETE)
                .timeout(settings.cancelTimeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
                .send {}
        }
    }

    private fun detach(attempt: AttemptId) {
        val exchange = exchanges[attempt] ?: return
        exchanges = exchanges.remove(attempt)
        if (exchange.abort()) output.aborted(attempt, exchange.request, exchange.upstream)
    }

    private fun probe(attempt: AttemptId, upstream: Upstream) {
        val exchange = exchanges[attempt] ?: return
        newConnectionRequest(upstream, "/v1/health")
            .timeout(settings.probeTimeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            .send { result ->
                val isAlive = result.isSucceeded && result.response.status == STATUS_OK
                output.eventArrived(
                    exchange.request,
                    upstream,
                    UpstreamEvent.Probed(attempt, isAlive),
                )
            }
    }

    private fun newConnectionRequest(upstream: Upstream, path: String) =
        client.newRequest(upstream.uri(path))
            .headers { it.put(HttpHeader.CONNECTION, CLOSE) }
            .tag(NEW_CONNECTION_TAG)

    private fun Upstream.uri(path: String): String = "http://$address:$port$path"

    private companion object {
        const val JSON = "application/json"
        const val CLOSE = "close"
        const val ATTEMPT_HEADER = "X-Attempt"
        const val KEY_HEADER = "Idempotency-Key"
        const val STATUS_OK = 200

        /**
         * Requests with this tag have a connection pool of their own. Each of them closes its
         * connection, so none is reused.
         */
        const val NEW_CONNECTION_TAG = "new-connection"

        fun newClient(settings: DispatchClientSettings): HttpClient = HttpClient().apply {
            isFollowRedirects = false
            connectTimeout = settings.connectTimeout.inWholeMilliseconds
            idleTimeout = settings.maxIdleTime.inWholeMilliseconds
            maxConnectionsPerDestination = settings.connectionsPerUpstream
            maxRequestsQueuedPerDestination = settings.connectionsPerUpstream
            transport.setConnectionPoolFactory { destination ->
                DuplexConnectionPool(destination, settings.connectionsPerUpstream).apply {
                    maxDuration = settings.maxConnectionAge.inWholeMilliseconds
                }
            }
        }
    }
}
