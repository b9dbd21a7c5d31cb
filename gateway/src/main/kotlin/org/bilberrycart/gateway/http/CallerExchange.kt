package org.bilberrycart.gateway.http

import java.nio.ByteBuffer
import org.bilberrycart.gateway.model.Body
import org.bilberrycart.gateway.model.Header
import org.eclipse.jetty.io.EofException
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.util.Callback

/**
 * The answer to one caller, written asynchronously: chunks queue while an earlier one is written.
 *
 * @property shouldClose called for each answer; returns whether the connection closes after it.
 */
internal class CallerExchange(
    private val request: Request,
    private val response: Response,
    private val callback: Callback,
    private val shouldClose: () -> Boolean,
) {
    private val lock = Any()
    private var isWriting = false
    private var isFinished = false
    private var queue: List<Chunk> = emptyList()

    private class Chunk(val bytes: ByteArray, val isLast: Boolean, val onReady: () -> Unit)

    /** Sets the status and headers of the answer, which are sent with its first bytes. */
    fun open(status: Int, headers: List<Header>) {
        response.status = status
        headers.forEach { response.headers.add(it.name, it.value) }
        if (shouldClose()) response.headers.put("Connection", "close")
    }

    /** Writes [body] and calls [onReady] once it is written and more can be sent. */
    fun write(body: Body, onReady: () -> Unit) = enqueue(Chunk(body.bytes, false, onReady))

    /** Writes [body] as the last part of the answer. */
    fun complete(body: Body = Body.EMPTY) = enqueue(Chunk(body.bytes, true) {})

    /** Sends a complete answer. */
    fun answer(status: Int, headers: List<Header>, body: Body) {
        open(status, headers)
        complete(body)
    }

    /** Aborts the answer by closing the connection; [why] is passed to Jetty as the failure. */
    fun abort(why: String) {
        val isFirstEnd = synchronized(lock) { !isFinished.also { isFinished = true } }
        if (!isFirstEnd) return
        request.connectionMetaData.connection.endPoint.close()
        callback.failed(EofException(why))
    }

    private fun enqueue(chunk: Chunk) {
        val isIdle = synchronized(lock) {
            if (isFinished) return
            if (isWriting) queue = queue + chunk
            !isWriting.also { isWriting = true }
        }
        if (isIdle) send(chunk)
    }

    private fun send(chunk: Chunk) = response.write(
        chunk.isLast,
        ByteBuffer.wrap(chunk.bytes),
        Callback.from({ onWriteSucceeded(chunk) }, { onWriteFailed(it) }),
    )

    private fun onWriteSucceeded(chunk: Chunk) {
        if (chunk.isLast) {
            finish()
            return
        }
        chunk.onReady()
        val next = synchronized(lock) {
            val next = queue.firstOrNull()
            queue = queue.drop(1)
            if (next == null) isWriting = false
            next
        }
        if (next != null) send(next)
    }

    private fun finish() {
        val isFirstEnd = synchronized(lock) { !isFinished.also { isFinished = true } }
        if (isFirstEnd) callback.succeeded()
    }

    private fun onWriteFailed(cause: Throwable) {
        val isFirstEnd = synchronized(lock) { !isFinished.also { isFinished = true } }
        if (isFirstEnd) callback.failed(cause)
    }
}
