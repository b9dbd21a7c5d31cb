package org.bilberrycart.gateway.http

import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import org.bilberrycart.gateway.model.AnswerHead
import org.bilberrycart.gateway.model.Body
import org.bilberrycart.gateway.model.EngineReport
import org.bilberrycart.gateway.model.Header
import org.bilberrycart.gateway.model.UpstreamEntry
import org.bilberrycart.gateway.placement.PlacementEvent
import org.eclipse.jetty.client.HttpClient
import org.eclipse.jetty.client.Request
import org.eclipse.jetty.client.Response
import org.eclipse.jetty.client.Result
import org.eclipse.jetty.http.HttpStatus

/** Asks upstreams how they are, and reports what they state of themselves to [placement]. */
internal class UpstreamProbes(
    private val client: HttpClient,
    private val protocol: CallProtocol,
    private val placement: (PlacementEvent) -> Unit,
) {
    /** Checks whether [upstream] answers within [timeout] and reports the result to [placement]. */
    fun probe(upstream: UpstreamEntry, timeout: Duration) = ask(upstream, timeout) { result, body ->
        val cause = result.failure?.summary() ?: body?.toString(Charsets.UTF_8).orEmpty()
        placement(PlacementEvent.Probed(upstream.id, result.isSucceeded, cause))
    }

    /**
     * Requests the report of the engine at the address of [upstream] and passes it to [onReport],
     * or null if no valid report arrives within [timeout].
     */
    fun identify(upstream: UpstreamEntry, timeout: Duration, onReport: (EngineReport?) -> Unit) =
        ask(upstream, timeout) { result, body ->
            val isReport = result.isSucceeded && result.response.status == HttpStatus.OK_200
            onReport(body?.takeIf { isReport }?.let { protocol.readEngineReport(Body(it)) })
        }

    private fun ask(
        upstream: UpstreamEntry,
        timeout: Duration,
        onAnswer: (Result, ByteArray?) -> Unit,
    ) {
        newRequest(upstream).path(protocol.probeTarget)
            .timeout(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            .send(object : WholeAnswerListener(MAX_REPORT_BYTES) {
                override fun onComplete(result: Result) {
                    if (result.isSucceeded) reportStatements(upstream, headOf(result.response))
                    onAnswer(result, content)
                }
            })
    }

    /** Returns the head of [response], as the protocol reads it. */
    fun headOf(response: Response, isForwarded: Boolean = false): AnswerHead {
        val headers = response.headers.map { Header(it.name, it.value.orEmpty()) }
        return when {
            isForwarded -> protocol.readForwardedHead(response.status, headers)
            else -> protocol.readAnswerHead(response.status, headers)
        }
    }

    /** Reports what [answer] states of [upstream], unless another upstream answered. */
    fun reportStatements(upstream: UpstreamEntry, answer: AnswerHead) {
        val isFromOther =
            answer.isMisdirected || answer.upstream.let { it != null && it != upstream.id }
        if (isFromOther || !answer.isLeaving && answer.retryAfter == null) return
        placement(
            PlacementEvent.UpstreamStated(upstream.id, answer.isLeaving, answer.retryAfter),
        )
    }

    /** Returns a request to [upstream] whose progress its connection is told of. */
    fun newRequest(upstream: UpstreamEntry): Request =
        client.newRequest(upstream.host, upstream.port).onRequestCommit { it.noteProgress() }

    private companion object {
        const val MAX_REPORT_BYTES = 64 * 1024
    }
}
