package org.bilberrycart.gateway.http

import java.util.concurrent.ConcurrentHashMap
import org.bilberrycart.gateway.model.AnswerHead
import org.bilberrycart.gateway.model.Body
import org.bilberrycart.gateway.model.CallKey
import org.bilberrycart.gateway.model.Refusal
import org.bilberrycart.gateway.model.UpstreamAnswer

/** The calls that wait for an answer, by key; each gets exactly one. */
public class OpenExchanges(private val protocol: CallerProtocol) {
    private val exchanges = ConcurrentHashMap<CallKey, CallerExchange>()

    /** How many calls wait for their answer or are getting it. */
    public val size: Int
        get() = exchanges.size

    /** Whether [key] still waits for the end of its answer. */
    public fun isOpen(key: CallKey): Boolean = exchanges.containsKey(key)

    internal fun add(key: CallKey, exchange: CallerExchange) {
        exchanges[key] = exchange
    }

    /** Gives the caller an upstream's whole answer. */
    public fun deliver(key: CallKey, answer: UpstreamAnswer) {
        exchanges.remove(key)?.answer(answer.head.status, answer.head.headers, answer.body)
    }

    /** Gives the caller an answer of the node's own. */
    public fun refuse(key: CallKey, requestId: String?, refusal: Refusal) {
        val own = protocol.ownAnswer(refusal, requestId)
        exchanges.remove(key)?.answer(own.status, own.headers, own.body)
    }

    /** Gives the caller the head of a stream. */
    public fun open(key: CallKey, head: AnswerHead) {
        exchanges[key]?.open(head.status, head.headers)
    }

    /** Writes a part of a stream, and calls [onWritten] when there is room for more. */
    public fun write(key: CallKey, bytes: Body, onWritten: () -> Unit) {
        exchanges[key]?.write(bytes, onWritten)
    }

    /** Ends a stream as complete. */
    public fun complete(key: CallKey) {
        exchanges.remove(key)?.complete()
    }

    /** Closes the caller's connection. */
    public fun abort(key: CallKey, why: String) {
        exchanges.remove(key)?.abort(why)
    }

    /** Closes the connections of all calls, because the node stops. */
    public fun abortAll(why: String): Unit = exchanges.keys.forEach { abort(it, why) }
}
