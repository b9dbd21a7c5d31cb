package org.bilberrycart.gateway.http

import java.nio.ByteBuffer
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
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
 * @property onEnd called once, when the answer is written or has failed.
 */
internal class CallerExchange(
    private val request: Request,
    private val response: Response,
    private val callback: Callback,
    private val shouldClose: () -> Boolean,
    private val onEnd: () -> Unit = {},
) {
    /** Tells whether the caller has closed its connection; null if that can't be told. */
    @Volatile var watch: CloseWatch.Watch? = null

    private val lock = ReentrantLock()
    private var isOpen = false
    private var isWriting = false
    private var isFinished = false
    private var queue: List<Chunk> = emptyList()

    private class Chunk(val bytes: ByteArray, val isLast: Boolean, val onReady: () -> Unit)

    /**
     * Sets the status and headers of the answer, which are sent with its first bytes.
     *
     * Returns false and changes nothing if the answer was opened before.
     */
    fun open(status: Int, headers: List<Header>): Boolean = lock.withLock {
        if (isOpen) return false
        isOpen = true
        response.status = status
        headers.forEach { response.headers.add(it.name, it.value) }
        if (shouldClose()) response.headers.put("Connection", "close")
        true
    }

    /** Writes [body] and calls [onReady] once it is written and more can be sent. */
    fun write(body: Body, onReady: () -> Unit) = enqueue(Chunk(body.bytes, false, onReady))

    /** Writes [body] as the last part of the answer. */
    fun complete(body: Body = Body.EMPTY) = enqueue(Chunk(body.bytes, true) {})

    /**
     * Sends a complete answer.
     *
     * If a streamed answer was opened before, it is aborted instead: the end of the other answer
     * would make it look complete.
     */
    fun answer(status: Int, headers: List<Header>, body: Body) {
        if (open(status, headers)) complete(body) else abort("a stream had begun")
    }

    /** Aborts the answer by closing the connection; [why] is passed to Jetty as the failure. */
    fun abort(why: String) {
        if (!end()) return
        request.connectionMetaData.connection.endPoint.close()
        callback.failed(EofException(why))
    }

    private fun enqueue(chunk: Chunk) {
        val isIdle = lock.withLock {
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
        val next = lock.withLock {
            val next = queue.firstOrNull()
            queue = queue.drop(1)
            if (next == null) isWriting = false
            next
        }
        if (next != null) send(next)
    }

    private fun finish() {
        if (end()) callback.succeeded()
    }

    private fun onWriteFailed(cause: Throwable) {
        if (end()) callback.failed(cause)
    }

    /** Marks the answer as ended; returns false if it was so already. */
    private fun end(): Boolean {
        val isFirstEnd = lock.withLock { !isFinished.also { isFinished = true } }
        if (isFirstEnd) onEnd()
        return isFirstEnd
    }
}
