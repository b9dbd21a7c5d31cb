package org.bilberrycart.gateway.http

import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import org.eclipse.jetty.io.ManagedSelector
import org.eclipse.jetty.io.SocketChannelEndPoint
import org.eclipse.jetty.server.HttpStream
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.util.BufferUtil
import org.eclipse.jetty.util.Callback
import org.eclipse.jetty.util.thread.Invocable
import org.eclipse.jetty.util.thread.Scheduler

/**
 * The endpoint of a caller's connection, which detects that the caller closes it during a request
 * and ends a connection on which one request takes more than [maxRequestBytes].
 *
 * Jetty reads nothing while it handles a request. From [Watch.begin] until the answer is complete,
 * this endpoint waits for input itself. Bytes of a following request that arrive meanwhile are
 * buffered until Jetty reads.
 */
internal class CloseWatch(
    channel: SocketChannel,
    selector: ManagedSelector,
    key: SelectionKey,
    scheduler: Scheduler,
    private val maxRequestBytes: () -> Long,
) : SocketChannelEndPoint(channel, selector, key, scheduler) {
    @Volatile private var requestBytes = 0L

    /** Guards the state of watches and each read, so that bytes keep their order. */
    private val lock = ReentrantLock()
    private var earlyBytes: ByteBuffer? = null

    override fun fillInterested(callback: Callback) {
        if (hasEarlyBytes()) callback.succeeded() else super.fillInterested(callback)
    }

    override fun tryFillInterested(callback: Callback): Boolean = when {
        hasEarlyBytes() -> {
            callback.succeeded()
            true
        }
        else -> super.tryFillInterested(callback)
    }

    override fun fill(buffer: ByteBuffer): Int = lock.withLock {
        val kept = earlyBytes ?: return checkLength(super.fill(buffer))
        val moved = BufferUtil.append(buffer, kept)
        if (!kept.hasRemaining()) earlyBytes = null
        moved
    }

    private fun checkLength(count: Int): Int {
        requestBytes += maxOf(0, count)
        if (requestBytes > maxRequestBytes()) {
            close()
            throw IOException("request of more than $requestBytes bytes")
        }
        return count
    }

    private fun hasEarlyBytes(): Boolean = lock.withLock { earlyBytes != null }

    /** Registers interest in input, under the lock so that [end] withdraws it or prevents it. */
    private fun register(watch: Watch): Unit = lock.withLock {
        if (watch.isActive && earlyBytes == null) super.tryFillInterested(watch)
    }

    /** Ends [watch] and withdraws its interest in input, which Jetty would take for its own. */
    private fun end(watch: Watch) {
        if (watch.deactivate() && isFillInterested) fillInterest.fillable()
    }

    private fun onReadable(watch: Watch) {
        val count = readIfWatching(watch) ?: return
        when {
            count < 0 -> onClosed(watch)
            count == 0 -> register(watch)
        }
    }

    private fun onClosed(watch: Watch) {
        if (!watch.deactivate()) return
        watch.hasSeenClose = true
        watch.onClose()
    }

    private fun hasClosed(watch: Watch): Boolean {
        val count = readIfWatching(watch)
        if (count != null && count < 0) onClosed(watch)
        return watch.hasSeenClose
    }

    /** Returns the count of bytes read; null if [watch] has ended or bytes are buffered by now. */
    private fun readIfWatching(watch: Watch): Int? = lock.withLock {
        if (watch.isActive && earlyBytes == null) readEarlyBytes() else null
    }

    private fun readEarlyBytes(): Int {
        val buffer = BufferUtil.allocate(EARLY_READ_BYTES)
        val count = try {
            super.fill(buffer)
        } catch (e: IOException) {
            // A reset ends the input as a close does.
            END_OF_INPUT
        }
        if (count > 0) earlyBytes = buffer
        return count
    }

    /** The watch during one request; it is inactive from the end of the request. */
    inner class Watch(val onClose: () -> Unit) : Callback {
        var isActive = true
            private set

        @Volatile internal var hasSeenClose = false

        /**
         * Looks whether the caller has closed by now, without waiting for the selector's thread,
         * which may be late on a machine that is short of processor time.
         */
        fun hasClosed(): Boolean = hasClosed(this)

        /** Starts to wait for the caller's close, unless the request has ended by now. */
        fun begin() = register(this)

        /** Makes the watch inactive; returns false if it was so already. */
        fun deactivate(): Boolean = lock.withLock { isActive.also { isActive = false } }

        override fun succeeded() = onReadable(this)

        override fun failed(x: Throwable) = onClosed(this)

        override fun getInvocationType(): Invocable.InvocationType =
            Invocable.InvocationType.NON_BLOCKING
    }

    /** Ends [watch] just before Jetty completes the request and reads the next one. */
    private inner class WatchedStream(stream: HttpStream, private val watch: Watch) :
        HttpStream.Wrapper(stream) {
        override fun succeeded() {
            end(watch)
            super.succeeded()
        }

        override fun failed(x: Throwable) {
            end(watch)
            super.failed(x)
        }
    }

    companion object {
        private const val EARLY_READ_BYTES = 4096
        private const val END_OF_INPUT = -1

        /** Begins to count the bytes of [request], whose head has been read. */
        fun beginRequest(request: Request) {
            (request.connectionMetaData.connection.endPoint as? CloseWatch)?.requestBytes = 0
        }

        /**
         * Returns a watch that, once begun, calls [onClose] at most once if the caller of
         * [request], whose body has been read, closes the connection before its answer is complete.
         */
        fun prepare(request: Request, onClose: () -> Unit): Watch? {
            val endPoint = request.connectionMetaData.connection.endPoint as? CloseWatch
            return endPoint?.Watch(onClose)?.also { watch ->
                request.addHttpStreamWrapper { endPoint.WatchedStream(it, watch) }
            }
        }
    }
}
