package org.bilberrycart.gateway.http

import java.io.ByteArrayOutputStream
import java.nio.ByteBuffer
import java.util.concurrent.CancellationException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import org.bilberrycart.gateway.model.AnswerHead
import org.bilberrycart.gateway.model.AttemptKey
import org.bilberrycart.gateway.model.Body
import org.bilberrycart.gateway.model.EngineReport
import org.bilberrycart.gateway.model.Header
import org.bilberrycart.gateway.model.RetryRule
import org.bilberrycart.gateway.model.UpstreamAnswer
import org.bilberrycart.gateway.model.UpstreamEntry
import org.bilberrycart.gateway.placement.PlacementEvent
import org.bilberrycart.gateway.placement.SendOrder
import org.bilberrycart.gateway.relay.RelayEvent
import org.eclipse.jetty.client.BufferingResponseListener
import org.eclipse.jetty.client.BytesRequestContent
import org.eclipse.jetty.client.HttpClient
import org.eclipse.jetty.client.Request
import org.eclipse.jetty.client.Result
import org.eclipse.jetty.http.HttpStatus

/**
 * Sends calls to upstreams and reports what comes back.
 *
 * Bytes of a stream go to [relay], one chunk at a time; everything else goes to [placement].
 */
internal class UpstreamClient(
    private val client: HttpClient,
    private val protocol: CallerProtocol,
    private val placement: (PlacementEvent) -> Unit,
    private val relay: (RelayEvent) -> Unit,
) {
    private val sent = ConcurrentHashMap<AttemptKey, Sent>()

    /** How many attempts are under way. */
    val size: Int
        get() = sent.size

    /** Sends [order]; a stream goes on behind [lastEvent]. */
    fun send(order: SendOrder, lastEvent: Long?) {
        val request = client.newRequest(order.upstream.host, order.upstream.port)
            .method(order.call.head.method)
            .path(order.call.head.target)
            .headers { fields ->
                protocol.upstreamHeaders(order, lastEvent).forEach { fields.add(it.name, it.value) }
            }
        if (order.call.body.size > 0) {
            request.body(BytesRequestContent(null as String?, order.call.body.bytes))
        }
        Sent(order, request).also { sent[order.attempt] = it }.start()
    }

    /** Closes the connection of [attempt], so that its upstream stops working on it. */
    fun cancel(attempt: AttemptKey, why: String) {
        sent.remove(attempt)?.cancel(why)
    }

    /** Reads on in the stream of [attempt]. */
    fun demand(attempt: AttemptKey) {
        sent[attempt]?.demand()
    }

    /** Asks [upstream] for a sign of life; a failure to answer within [limit] is one too. */
    fun probe(upstream: UpstreamEntry, limit: Duration) {
        client.newRequest(upstream.host, upstream.port).path(protocol.probeTarget)
            .timeout(limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            .send(object : BufferingResponseListener(LONGEST_REPORT_BYTES) {
                override fun onComplete(result: Result) {
                    val cause = result.failure?.brief() ?: contentAsString.orEmpty()
                    placement(PlacementEvent.Probed(upstream.id, result.isSucceeded, cause))
                }
            })
    }

    /** Asks the engine at the address of [upstream] what it is; null if it doesn't say. */
    fun identify(upstream: UpstreamEntry, limit: Duration, use: (EngineReport?) -> Unit) {
        client.newRequest(upstream.host, upstream.port).path(protocol.probeTarget)
            .timeout(limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            .send(object : BufferingResponseListener(LONGEST_REPORT_BYTES) {
                override fun onComplete(result: Result) {
                    val isReport = result.isSucceeded && result.response.status == HttpStatus.OK_200
                    use(content?.takeIf { isReport }?.let { protocol.readReport(Body(it)) })
                }
            })
    }

    private inner class Sent(private val order: SendOrder, private val request: Request) {
        private val attempt = order.attempt
        private val demander = AtomicReference<Runnable?>()
        private val body = ByteArrayOutputStream()

        @Volatile private var isBegun = false

        @Volatile private var head: AnswerHead? = null

        @Volatile private var isStream = false

        fun start() {
            request.onRequestBegin { isBegun = true }
                .onResponseHeaders { response ->
                    val fields = response.headers.map { Header(it.name, it.value.orEmpty()) }
                    opened(protocol.readAnswer(response.status, fields))
                }
                .onResponseContentAsync { _, chunk, next -> read(chunk.byteBuffer, next) }
                .send(::finished)
        }

        fun cancel(why: String) {
            request.abort(CancellationException(why))
        }

        fun demand() {
            demander.getAndSet(null)?.run()
        }

        private fun opened(answer: AnswerHead) {
            head = answer
            isStream = order.call.route.retryRule is RetryRule.Stream &&
                answer.isSuccess &&
                answer.isSigned &&
                answer.requestId == order.call.head.requestId
            if (isStream) relay(RelayEvent.Opened(attempt, answer))
        }

        private fun read(buffer: ByteBuffer, next: Runnable) {
            val bytes = ByteArray(buffer.remaining()).also { buffer.get(it) }
            if (isStream) {
                demander.set(next)
                relay(RelayEvent.Chunk(attempt, Body(bytes)))
            } else {
                body.write(bytes)
                if (body.size() > LONGEST_ANSWER_BYTES) cancel("answer too long") else next.run()
            }
        }

        private fun finished(result: Result) {
            sent.remove(attempt)
            val answer = head
            val cause = result.failure
            when {
                cause == null && isStream -> relay(RelayEvent.Ended(attempt))
                cause == null && answer != null -> placement(
                    PlacementEvent.Answered(
                        attempt,
                        UpstreamAnswer(answer, Body(body.toByteArray())),
                    ),
                )
                !isBegun -> placement(PlacementEvent.Unsent(attempt, cause.brief()))
                isStream -> relay(RelayEvent.Failed(attempt, cause.brief()))
                else -> placement(PlacementEvent.AttemptFailed(attempt, cause.brief()))
            }
        }
    }

    private companion object {
        const val LONGEST_REPORT_BYTES = 64 * 1024
        const val LONGEST_ANSWER_BYTES = 16 * 1024 * 1024
    }
}
