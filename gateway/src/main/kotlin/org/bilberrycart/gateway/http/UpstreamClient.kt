package org.bilberrycart.gateway.http

import java.io.ByteArrayOutputStream
import java.io.Closeable
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import java.util.concurrent.CancellationException
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.gateway.model.AnswerHead
import org.bilberrycart.gateway.model.AttemptKey
import org.bilberrycart.gateway.model.Body
import org.bilberrycart.gateway.model.EngineReport
import org.bilberrycart.gateway.model.RetryRule
import org.bilberrycart.gateway.model.UpstreamAnswer
import org.bilberrycart.gateway.model.UpstreamEntry
import org.bilberrycart.gateway.placement.PlacementEvent
import org.bilberrycart.gateway.placement.SendOrder
import org.bilberrycart.gateway.relay.RelayEvent
import org.bilberrycart.pipeline.SharedMap
import org.eclipse.jetty.client.BytesRequestContent
import org.eclipse.jetty.client.HttpClient
import org.eclipse.jetty.client.Request
import org.eclipse.jetty.client.Result
import org.eclipse.jetty.http.HttpMethod
import org.eclipse.jetty.io.Connection
import org.slf4j.LoggerFactory

/**
 * Sends calls to upstreams and reports their answers and failures.
 *
 * The events of a stream go to [relay], which asks for each chunk with [demand]; all other events
 * go to [placement].
 */
internal class UpstreamClient(
    private val client: HttpClient,
    private val protocol: CallProtocol,
    private val placement: (PlacementEvent) -> Unit,
    private val relay: (RelayEvent) -> Unit,
    private val limits: AnswerLimits = AnswerLimits(),
) {
    private val attempts = SharedMap<AttemptKey, SentAttempt>()
    private val probes = UpstreamProbes(client, protocol, placement)

    /** The bytes of all answers that are being received. */
    private val bufferedBytes = AtomicLong()

    /** The number of attempts in flight. */
    val size: Int
        get() = attempts.current.size

    /**
     * Sends the call of [order] to its upstream.
     *
     * A stream continues after [lastEvent], the id of the last event that the caller has, or starts
     * at its first event if null.
     */
    fun send(order: SendOrder, lastEvent: Long?) {
        try {
            SentAttempt(order, request(order, lastEvent)).also { attempts[order.attempt] = it }
                .start()
        } catch (e: RuntimeException) {
            // The HTTP client rejects what it can't write, for instance a port out of range.
            attempts.remove(order.attempt)
            placement(PlacementEvent.Unsent(order.attempt, e.summary()))
        }
    }

    private fun request(order: SendOrder, lastEvent: Long?): Request {
        val request = probes.newRequest(order.upstream)
            .method(order.call.head.method)
            .path(order.call.head.target)
            // An upstream may be silent while it works; placement ends the call at its deadline.
            .idleTimeout((order.timeLeft + IDLE_MARGIN).inWholeMilliseconds, TimeUnit.MILLISECONDS)
            .headers { fields ->
                protocol.upstreamHeaders(order, lastEvent).forEach { fields.add(it.name, it.value) }
            }
        if (order.call.body.size > 0) {
            request.body(BytesRequestContent(null as String?, order.call.body.bytes))
        }
        return request
    }

    /** Closes the connection of [attempt], so that its upstream stops working on the call. */
    fun cancel(attempt: AttemptKey, why: String) {
        attempts.remove(attempt)?.cancel(why)
    }

    /** Requests the next chunk of the stream of [attempt]. */
    fun demand(attempt: AttemptKey) {
        attempts[attempt]?.demand()
    }

    /** Checks whether [upstream] answers, as [UpstreamProbes.probe] does. */
    fun probe(upstream: UpstreamEntry, timeout: Duration) = probes.probe(upstream, timeout)

    /** Asks [upstream] for its report, as [UpstreamProbes.identify] does. */
    fun identify(upstream: UpstreamEntry, timeout: Duration, onReport: (EngineReport?) -> Unit) =
        probes.identify(upstream, timeout, onReport)

    /** Ends the longest answer, which is the likeliest to have no end, and no other call. */
    private fun cancelLongest() {
        attempts.current.values.maxByOrNull { it.keptBytes }
            ?.cancel("all answers together are too long, this one most")
    }

    private inner class SentAttempt(private val order: SendOrder, private val request: Request) {
        private val attempt = order.attempt
        private val pendingDemand = AtomicReference<Runnable?>()
        private val body = ByteArrayOutputStream()
        private val kept = AtomicLong()

        /** How many bytes of the answer count towards [AnswerLimits.totalBytes]. */
        val keptBytes: Long
            get() = kept.get()

        @Volatile private var hasBegun = false

        @Volatile private var head: AnswerHead? = null

        @Volatile private var isStream = false

        /** Whether an answer without the id of this call arrived, which has been reported. */
        @Volatile private var isDisplaced = false

        @Volatile private var isCancelled = false

        /** The connection that serves this attempt only; null if one is taken from the pool. */
        @Volatile private var ownConnection: Closeable? = null

        fun start() {
            request.onRequestBegin { hasBegun = true }
                .onResponseHeaders { onHead(probes.headOf(it, order.isForwarded)) }
                .onResponseContentAsync { _, chunk, next -> onChunk(chunk.byteBuffer, next) }
            if (order.needsNewConnection) sendOnNewConnection() else request.send(::onFinished)
        }

        private fun sendOnNewConnection() {
            client.resolveDestination(request).newConnection().whenComplete { connection, cause ->
                when (connection) {
                    null -> onNoConnection(cause)
                    else -> {
                        ownConnection = connection
                        if (!isCancelled) connection.send(request, ::onFinished)
                        // A cancellation that came before this connection was known missed it.
                        if (isCancelled) connection.close()
                    }
                }
            }
        }

        private fun onNoConnection(cause: Throwable) {
            attempts.remove(attempt)
            placement(PlacementEvent.Unsent(attempt, cause.summary()))
        }

        fun cancel(why: String) {
            isCancelled = true
            release()
            request.abort(CancellationException(why))
            ownConnection?.close()
        }

        fun demand() {
            pendingDemand.getAndSet(null)?.run()
        }

        private fun onHead(received: AnswerHead) {
            val isReused = request.noteAnswer()
            if (!order.isForwarded) probes.reportStatements(order.upstream, received)
            if (received.promisesNotRun) logRejection(received, isReused)
            // Only an id tells it from an earlier answer on the connection, written once more.
            val mayBeCopy = isReused && received.requestId == null
            val answer = if (mayBeCopy) received.withoutStatements() else received
            head = answer
            if (answer.requestId != order.call.head.requestId) {
                reportDisplaced(answer)
                return
            }
            isStream = isStream(answer)
            if (isStream) relay(RelayEvent.Opened(attempt, answer))
        }

        /** Returns whether events follow [answer]; anything else is received as a whole. */
        private fun isStream(answer: AnswerHead): Boolean =
            order.call.route.retryRule is RetryRule.Stream &&
                !HttpMethod.HEAD.`is`(order.call.head.method) &&
                answer.isStreamStatus &&
                answer.isSigned &&
                answer.requestId == order.call.head.requestId

        /**
         * Reports an answer without the id of this call and closes the connection, on which the
         * answer to this call may still arrive and would reach the next one.
         */
        private fun reportDisplaced(answer: AnswerHead) {
            isDisplaced = true
            placement(PlacementEvent.Answered(attempt, UpstreamAnswer(answer, Body.EMPTY)))
            cancel("answer without the id of this call")
        }

        private fun logRejection(answer: AnswerHead, isReused: Boolean) {
            val address = (request.connection as? Connection)?.endPoint?.localSocketAddress
            log.info(
                "event=rejection_received request={} call={} attempt={} upstream={} status={} " +
                    "for={} connection={} reused={}",
                order.call.head.requestId,
                attempt.call.number,
                attempt.number,
                order.upstream.id.value,
                answer.status,
                answer.requestId,
                (address as? InetSocketAddress)?.port,
                isReused,
            )
        }

        private fun onChunk(buffer: ByteBuffer, next: Runnable) {
            request.noteProgress()
            val bytes = ByteArray(buffer.remaining()).also { buffer.get(it) }
            if (isStream) {
                pendingDemand.set(next)
                relay(RelayEvent.Chunk(attempt, Body(bytes)))
            } else {
                keep(bytes)
                next.run()
            }
        }

        private fun keep(bytes: ByteArray) {
            if (isCancelled) return
            body.write(bytes)
            kept.addAndGet(bytes.size.toLong())
            val total = bufferedBytes.addAndGet(bytes.size.toLong())
            when {
                body.size() > limits.answerBytes -> cancel("answer too long")
                total > limits.totalBytes -> cancelLongest()
            }
        }

        private fun release() {
            bufferedBytes.addAndGet(-kept.getAndSet(0))
        }

        private fun onFinished(result: Result) {
            attempts.remove(attempt)
            ownConnection?.close()
            release()
            if (isDisplaced) return
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
                !hasBegun -> placement(PlacementEvent.Unsent(attempt, cause.summary()))
                isStream -> relay(RelayEvent.Failed(attempt, cause.summary()))
                else -> placement(PlacementEvent.AttemptFailed(attempt, cause.summary()))
            }
        }
    }

    private companion object {
        val IDLE_MARGIN = 1.seconds
        val log = LoggerFactory.getLogger(UpstreamClient::class.java)
    }
}
