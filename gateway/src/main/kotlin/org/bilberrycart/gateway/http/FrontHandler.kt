package org.bilberrycart.gateway.http

import java.util.concurrent.atomic.AtomicLong
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

/** Reads the requests of callers, without a thread for each, and hands them to the entry filter. */
internal class FrontHandler(
    private val protocol: CallerProtocol,
    private val exchanges: OpenExchanges,
    private val clock: Clock,
    private val limits: () -> RequestLimits,
    private val isClosing: () -> Boolean,
    private val receive: (EntryEvent.Received) -> Boolean,
    private val callerGone: (CallKey) -> Unit,
) : Handler.Abstract.NonBlocking() {
    private val keys = AtomicLong()

    override fun handle(request: Request, response: Response, callback: Callback): Boolean {
        val exchange = CallerExchange(request, response, callback, isClosing)
        request.addIdleTimeoutListener { false }
        val headers = request.headers.map { Header(it.name, it.value.orEmpty()) }
        val arrivedAt = clock.now()
        val target = request.httpURI.pathQuery.orEmpty()
        when (val result = protocol.readHead(request.method, target, headers)) {
            is HeadResult.Unreadable -> refuse(exchange, result.refusal, requestId = null)
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

    private fun nextKey() = CallKey(keys.incrementAndGet())

    private fun readBody(
        request: Request,
        exchange: CallerExchange,
        head: CallHead,
        use: (Body) -> Unit,
    ) {
        val limit = limits().bodyBytes
        if (request.length > limit) {
            refuse(exchange, Refusal.TooLarge, head.requestId)
            return
        }
        Content.Source.asByteArrayAsync(request, limit).whenComplete { bytes, cause ->
            when {
                cause == null -> use(Body(bytes))
                request.length < 0 && cause is IllegalStateException ->
                    refuse(exchange, Refusal.TooLarge, head.requestId)
                else -> exchange.abort("body not read: ${cause.brief()}")
            }
        }
    }

    private fun submit(request: Request, exchange: CallerExchange, event: EntryEvent.Received) {
        exchanges.add(event.key, exchange)
        val end = request.connectionMetaData.connection.endPoint
        if (receive(event)) {
            (end as? CloseWatch)?.watch { if (exchanges.isOpen(event.key)) callerGone(event.key) }
        } else {
            exchanges.refuse(
                event.key,
                event.head.requestId,
                Refusal.NotRun("queue full", FULL_WAIT),
            )
        }
    }

    private fun refuse(exchange: CallerExchange, refusal: Refusal, requestId: String?) {
        val own = protocol.ownAnswer(refusal, requestId)
        exchange.answer(own.status, own.headers, own.body)
    }

    private companion object {
        /** How soon a caller should come back to a node whose queue is full. */
        val FULL_WAIT = kotlin.time.Duration.parse("0.5s")
    }
}
