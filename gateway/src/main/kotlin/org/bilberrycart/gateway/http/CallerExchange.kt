package org.bilberrycart.gateway.http

import java.nio.ByteBuffer
import org.bilberrycart.gateway.model.Body
import org.bilberrycart.gateway.model.Header
import org.eclipse.jetty.io.EofException
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.util.Callback

/**
 * The answer to one caller, written without waiting: parts queue up while one is on its way.
 *
 * @property isClosing asked for each answer: whether the connection is to be closed behind it.
 */
internal class CallerExchange(
    private val request: Request,
    private val response: Response,
    private val callback: Callback,
    private val isClosing: () -> Boolean,
) {
    private val lock = Any()
    private var isWriting = false
    private var isOver = false
    private var queue: List<Part> = emptyList()

    private class Part(val bytes: ByteArray, val isLast: Boolean, val onWritten: () -> Unit)

    /** Sets the head of the answer; it goes out with the first bytes. */
    fun open(status: Int, headers: List<Header>) {
        response.status = status
        headers.forEach { response.headers.add(it.name, it.value) }
        if (isClosing()) response.headers.put("Connection", "close")
    }

    /** Writes [body] and calls [onWritten] when the caller's side has room for more. */
    fun write(body: Body, onWritten: () -> Unit) = put(Part(body.bytes, false, onWritten))

    /** Ends the answer behind [body]. */
    fun complete(body: Body = Body.EMPTY) = put(Part(body.bytes, true) {})

    /** Gives the whole answer. */
    fun answer(status: Int, headers: List<Header>, body: Body) {
        open(status, headers)
        complete(body)
    }

    /** Breaks the answer off by closing the connection. */
    fun abort(why: String) {
        val isFirst = synchronized(lock) { !isOver.also { isOver = true } }
        if (!isFirst) return
        request.connectionMetaData.connection.endPoint.close()
        callback.failed(EofException(why))
    }

    private fun put(part: Part) {
        val isNext = synchronized(lock) {
            if (isOver) return
            if (isWriting) queue = queue + part
            !isWriting.also { isWriting = true }
        }
        if (isNext) send(part)
    }

    private fun send(part: Part) = response.write(
        part.isLast,
        ByteBuffer.wrap(part.bytes),
        Callback.from({ written(part) }, { failed(it) }),
    )

    private fun written(part: Part) {
        if (part.isLast) {
            finish()
            return
        }
        part.onWritten()
        val next = synchronized(lock) {
            val next = queue.firstOrNull()
            queue = queue.drop(1)
            if (next == null) isWriting = false
            next
        }
        if (next != null) send(next)
    }

    private fun finish() {
        val isFirst = synchronized(lock) { !isOver.also { isOver = true } }
        if (isFirst) callback.succeeded()
    }

    private fun failed(cause: Throwable) {
        val isFirst = synchronized(lock) { !isOver.also { isOver = true } }
        if (isFirst) callback.failed(cause)
    }
}
