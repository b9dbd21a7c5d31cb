package org.bilberrycart.gateway.http

import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.gateway.model.AnswerHead
import org.bilberrycart.gateway.model.Body
import org.bilberrycart.gateway.model.CallKey
import org.bilberrycart.gateway.model.Refusal
import org.bilberrycart.gateway.model.UpstreamAnswer
import org.bilberrycart.pipeline.SharedMap
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.util.Callback
import org.slf4j.LoggerFactory

/** The exchanges of calls whose answer is not complete, by key; each gets exactly one answer. */
public class OpenExchanges(private val protocol: CallProtocol) {
    private val exchanges = SharedMap<CallKey, CallerExchange>()

    private val unfinished = AtomicInteger()

    /** The number of requests whose answer is not sent completely, those being read included. */
    public val size: Int
        get() = unfinished.get()

    /** Returns the exchange of a request that begins; [shouldClose] is as in [CallerExchange]. */
    internal fun begin(
        request: Request,
        response: Response,
        callback: Callback,
        shouldClose: () -> Boolean,
    ): CallerExchange {
        unfinished.incrementAndGet()
        return CallerExchange(request, response, callback, shouldClose) {
            unfinished.decrementAndGet()
        }
    }

    /** Whether no call waits for its answer; requests that are being read don't count. */
    internal val isEmpty: Boolean
        get() = exchanges.current.isEmpty()

    /** Returns the keys of the calls whose answers are not complete. */
    internal fun openKeys(): Set<CallKey> = exchanges.current.keys

    /** Returns whether the answer to the call with [key] is not complete yet. */
    public fun isOpen(key: CallKey): Boolean = exchanges[key] != null

    /**
     * Returns whether the caller of the call with [key] still waits for its answer.
     *
     * A write that failed ends the watch of the connection, so that the watch alone does not tell.
     */
    internal fun isAwaited(key: CallKey): Boolean =
        exchanges[key]?.let { !it.hasEnded && it.watch?.hasClosed() != true } ?: false

    /**
     * Returns whether the call with [key] may be sent to an upstream: its caller waits for the
     * answer. The call counts as sent from then on.
     *
     * It is marked before the look, so that [endUnowned] never promises that it did not run.
     */
    internal fun beginSend(key: CallKey): Boolean {
        exchanges[key]?.wasSent = true
        return isAwaited(key)
    }

    internal fun add(key: CallKey, exchange: CallerExchange) {
        exchanges[key] = exchange
    }

    /**
     * Ends the answer to the call with [key], which no duty owns; returns how, or null if it has
     * ended by now.
     */
    internal fun endUnowned(key: CallKey): UnownedEnd? {
        val exchange = exchanges.remove(key) ?: return null
        val end = when {
            exchange.hasBegun -> UnownedEnd.Aborted
            exchange.wasSent -> UnownedEnd.Failed
            else -> UnownedEnd.NotRun
        }
        val refusal = when (end) {
            UnownedEnd.NotRun -> Refusal.NotRun(UNOWNED, UNOWNED_RETRY_AFTER)
            UnownedEnd.Aborted, UnownedEnd.Failed -> Refusal.UpstreamFailed(UNOWNED)
        }
        val answer = protocol.refusalAnswer(refusal, requestId = null)
        exchange.answer(answer.status, answer.headers, answer.body)
        return end
    }

    /** Sends the caller an upstream's complete answer. */
    public fun deliver(key: CallKey, answer: UpstreamAnswer) {
        exchanges.remove(key)?.answer(answer.head.status, answer.head.headers, answer.body)
    }

    /** Sends the caller the answer that reports [refusal]. */
    public fun refuse(key: CallKey, requestId: String?, refusal: Refusal) {
        val answer = protocol.refusalAnswer(refusal, requestId)
        exchanges.remove(key)?.answer(answer.status, answer.headers, answer.body)
    }

    /** Sets the status and headers of a streamed answer. */
    public fun open(key: CallKey, head: AnswerHead) {
        exchanges[key]?.openStream(head.status, head.headers)
    }

    /** Writes a chunk of a streamed answer and calls [onReady] when more can be sent. */
    public fun write(key: CallKey, bytes: Body, onReady: () -> Unit) {
        exchanges[key]?.write(bytes, onReady)
    }

    /** Completes a streamed answer. */
    public fun complete(key: CallKey) {
        exchanges.remove(key)?.complete()
    }

    /** Aborts the answer to the call with [key] by closing the caller's connection. */
    public fun abort(key: CallKey, why: String) {
        exchanges.remove(key)?.abort(why)
    }

    /** Aborts all open answers, for example because the node stops. */
    public fun abortAll(why: String): Unit = exchanges.current.keys.forEach { key ->
        log.info("event=answer_cut call={} why=\"{}\"", key.number, why)
        abort(key, why)
    }

    private companion object {
        const val UNOWNED = "the node lost track of the call"
        val UNOWNED_RETRY_AFTER = 1.seconds
        val log = LoggerFactory.getLogger(OpenExchanges::class.java)
    }
}
