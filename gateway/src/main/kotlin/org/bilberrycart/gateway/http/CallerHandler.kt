package org.bilberrycart.gateway.http

import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds
import org.bilberrycart.gateway.entry.EntryEvent
import org.bilberrycart.gateway.model.Body
import org.bilberrycart.gateway.model.CallHead
import org.bilberrycart.gateway.model.CallKey
import org.bilberrycart.gateway.model.Header
import org.bilberrycart.gateway.model.Refusal
import org.bilberrycart.gateway.model.RequestLimits
import org.bilberrycart.pipeline.Clock
import org.eclipse.jetty.io.Content
import org.eclipse.jetty.server.Handler
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.util.Callback

/** Reads callers' requests without blocking a thread and passes them to the entry filter. */
internal class CallerHandler(
    private val protocol: CallProtocol,
    private val exchanges: OpenExchanges,
    private val clock: Clock,
    private val requestLimits: () -> RequestLimits,
    private val shouldClose: () -> Boolean,
    private val offerRequest: (EntryEvent.Received) -> Boolean,
    private val onCallerGone: (CallKey) -> Unit,
) : Handler.Abstract.NonBlocking() {
    private val lastKey = AtomicLong()

    override fun handle(request: Request, response: Response, callback: Callback): Boolean {
        val exchange = exchanges.begin(request, response, callback, shouldClose)
        request.addIdleTimeoutListener { false }
        CloseWatch.beginRequest(request)
        val headers = request.headers.map { Header(it.name, it.value.orEmpty()) }
        val arrivedAt = clock.now()
        val target = request.httpURI.pathQuery.orEmpty()
        when (val result = protocol.readRequestHead(request.method, target, headers)) {
            is HeadResult.Refused -> refuse(exchange, result.refusal, requestId = null)
            is HeadResult.Read -> readBody(request, exchange, result.head) { body ->
                submit(
                    request,
                    exchange,
                    EntryEvent.Received(nextKey(), result.head, body, arrivedAt),
                )
            }
        }
        return true
    }

    private fun nextKey() = CallKey(lastKey.incrementAndGet())

    private fun readBody(
        request: Request,
        exchange: CallerExchange,
        head: CallHead,
        onBody: (Body) -> Unit,
    ) {
        val limit = requestLimits().bodyBytes
        if (request.length > limit) {
            refuse(exchange, Refusal.TooLarge, head.requestId)
            return
        }
        Content.Source.asByteArrayAsync(request, limit).whenComplete { bytes, cause ->
            when {
                cause == null -> onBody(Body(bytes))
                request.length < 0 && cause is IllegalStateException ->
                    refuse(exchange, Refusal.TooLarge, head.requestId)
                else -> exchange.abort("can't read the request body: ${cause.summary()}")
            }
        }
    }

    private fun submit(request: Request, exchange: CallerExchange, event: EntryEvent.Received) {
        exchanges.add(event.key, exchange)
        val reportGone = { if (exchanges.isOpen(event.key)) onCallerGone(event.key) }
        val watch = CloseWatch.prepare(request, onClose = reportGone)
        exchange.watch = watch
        exchange.onCallerGone = reportGone
        // The watch begins after the offer, so that the close follows the request into the ring.
        if (offerRequest(event)) {
            watch?.begin()
        } else {
            exchanges.refuse(
                event.key,
                event.head.requestId,
                Refusal.NotRun("queue full", QUEUE_FULL_RETRY_AFTER),
            )
        }
    }

    private fun refuse(exchange: CallerExchange, refusal: Refusal, requestId: String?) {
        val answer = protocol.refusalAnswer(refusal, requestId)
        exchange.answer(answer.status, answer.headers, answer.body)
    }

    private companion object {
        /** How soon a caller should retry at a node whose entry queue is full. */
        val QUEUE_FULL_RETRY_AFTER = 500.milliseconds
    }
}
