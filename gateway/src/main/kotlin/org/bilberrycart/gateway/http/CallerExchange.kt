package org.bilberrycart.gateway.http

import java.io.IOException
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import org.bilberrycart.gateway.model.Body
import org.bilberrycart.gateway.model.Header
import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.http.HttpVersion
import org.eclipse.jetty.io.EofException
import org.eclipse.jetty.io.SocketChannelEndPoint
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.util.Callback
import org.slf4j.LoggerFactory

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

    /**
     * Called if a write fails, which tells that the caller has gone. The failure ends the request
     * for Jetty, and with it the watch, which may not have seen the close by then.
     */
    @Volatile var onCallerGone: () -> Unit = {}

    /** Whether the answer is complete or has failed, so that nothing more reaches the caller. */
    val hasEnded: Boolean
        get() = lock.withLock { isFinished }

    /** Whether the call may have been sent to an upstream. */
    @Volatile var wasSent: Boolean = false

    /** Whether the head of the answer is set. */
    val hasBegun: Boolean
        get() = lock.withLock { isOpen }

    private val knowsChunks = request.connectionMetaData.httpVersion >= HttpVersion.HTTP_1_1
    private val lock = ReentrantLock()
    private var isOpen = false
    private var isWriting = false
    private var isFinished = false
    private var queue: List<Chunk> = emptyList()

    private class Chunk(val bytes: ByteArray, val isLast: Boolean, val onReady: () -> Unit)

    /**
     * Sets the status and headers of a streamed answer, which are sent with its first bytes.
     *
     * The answer is sent in chunks, also if its connection closes after it: only then can the
     * caller tell that it was broken off. A caller of HTTP/1.0 knows no chunks; [abort] resets its
     * connection instead.
     *
     * Returns false and changes nothing if the answer was opened before.
     */
    fun openStream(status: Int, headers: List<Header>): Boolean {
        val isFirst = open(status, headers)
        if (isFirst && knowsChunks) response.headers.put(HttpHeader.TRANSFER_ENCODING, "chunked")
        return isFirst
    }

    private fun open(status: Int, headers: List<Header>): Boolean = lock.withLock {
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

    /**
     * Aborts the answer by ending the connection; [why] is passed to Jetty as the failure.
     *
     * An answer without chunks or a length would look complete after an orderly close.
     */
    fun abort(why: String) {
        if (!end()) return
        val endPoint = request.connectionMetaData.connection.endPoint
        if (!knowsChunks) (endPoint as? SocketChannelEndPoint)?.resetOnClose()
        endPoint.close()
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
        if (!end()) return
        onCallerGone()
        callback.failed(cause)
    }

    /** Marks the answer as ended; returns false if it was so already. */
    private fun end(): Boolean {
        val isFirstEnd = lock.withLock { !isFinished.also { isFinished = true } }
        if (isFirstEnd) onEnd()
        return isFirstEnd
    }
}

private fun SocketChannelEndPoint.resetOnClose() {
    try {
        (channel as SocketChannel).setOption(StandardSocketOptions.SO_LINGER, 0)
    } catch (e: IOException) {
        // The caller has closed the connection, so that it does not wait for an end.
        log.debug("event=reset_not_set cause={}", e.toString())
    }
}

private val log = LoggerFactory.getLogger(CallerExchange::class.java)
