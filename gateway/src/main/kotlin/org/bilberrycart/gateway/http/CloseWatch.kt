package org.bilberrycart.gateway.http

import java.nio.ByteBuffer
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel
import org.eclipse.jetty.io.ManagedSelector
import org.eclipse.jetty.io.SocketChannelEndPoint
import org.eclipse.jetty.util.BufferUtil
import org.eclipse.jetty.util.Callback
import org.eclipse.jetty.util.thread.Invocable
import org.eclipse.jetty.util.thread.Scheduler

/**
 * The endpoint of a caller's connection, which detects that the caller closes it during a request.
 *
 * Jetty reads nothing while it handles a request. After [watch], this endpoint waits for input
 * itself. Bytes of a following request that arrive meanwhile are buffered until Jetty reads.
 */
internal class CloseWatch(
    channel: SocketChannel,
    selector: ManagedSelector,
    key: SelectionKey,
    scheduler: Scheduler,
) : SocketChannelEndPoint(channel, selector, key, scheduler) {
    private val lock = Any()
    private var onClose: (() -> Unit)? = null
    private var isWatching = false
    private var pendingRead: Callback? = null
    private var earlyBytes: ByteBuffer? = null

    /** Calls [onClose] once if the caller closes its side before Jetty reads the next request. */
    fun watch(onClose: () -> Unit) {
        val mustRegister = beginWatch(onClose)
        if (mustRegister && !super.tryFillInterested(ReadableCallback())) endWatch()
    }

    override fun fillInterested(callback: Callback) {
        when (prepareRead(callback)) {
            ReadPreparation.BYTES_AVAILABLE -> callback.succeeded()
            ReadPreparation.INTEREST_REGISTERED -> Unit
            ReadPreparation.NOT_WATCHING -> super.fillInterested(callback)
        }
    }

    override fun tryFillInterested(callback: Callback): Boolean = when (prepareRead(callback)) {
        ReadPreparation.BYTES_AVAILABLE -> {
            callback.succeeded()
            true
        }
        ReadPreparation.INTEREST_REGISTERED -> true
        ReadPreparation.NOT_WATCHING -> super.tryFillInterested(callback)
    }

    override fun fill(buffer: ByteBuffer): Int {
        val kept = takeEarlyBytes() ?: return super.fill(buffer)
        val moved = BufferUtil.append(buffer, kept)
        if (kept.hasRemaining()) keepEarlyBytes(kept)
        return moved
    }

    private fun onReadable() {
        val callback = endWatch()
        if (callback != null) callback.succeeded() else readEarlyBytes()
    }

    private fun readEarlyBytes() {
        val buffer = BufferUtil.allocate(EARLY_READ_BYTES)
        val count = try {
            super.fill(buffer)
        } catch (e: java.io.IOException) {
            END_OF_INPUT
        }
        when {
            count < 0 -> takeOnClose()?.invoke()
            count > 0 -> keepEarlyBytes(buffer)
            else -> takeOnClose()?.let { watch(it) }
        }
    }

    private fun onReadFailed(cause: Throwable) {
        val callback = endWatch()
        if (callback != null) callback.failed(cause) else takeOnClose()?.invoke()
    }

    private fun beginWatch(callback: () -> Unit): Boolean = synchronized(lock) {
        onClose = callback
        val mustRegister = !isWatching && earlyBytes == null
        if (mustRegister) isWatching = true
        mustRegister
    }

    private fun endWatch(): Callback? = synchronized(lock) {
        isWatching = false
        pendingRead.also { pendingRead = null }
    }

    private fun prepareRead(callback: Callback): ReadPreparation = synchronized(lock) {
        onClose = null
        when {
            earlyBytes != null -> ReadPreparation.BYTES_AVAILABLE
            isWatching -> {
                pendingRead = callback
                ReadPreparation.INTEREST_REGISTERED
            }
            else -> ReadPreparation.NOT_WATCHING
        }
    }

    private fun takeOnClose(): (() -> Unit)? = synchronized(lock) {
        onClose.also { onClose = null }
    }

    private fun takeEarlyBytes(): ByteBuffer? = synchronized(lock) {
        earlyBytes.also { earlyBytes = null }
    }

    private fun keepEarlyBytes(buffer: ByteBuffer): Unit = synchronized(lock) {
        earlyBytes = buffer
    }

    /** What happens to a read that Jetty asks for. */
    private enum class ReadPreparation { BYTES_AVAILABLE, INTEREST_REGISTERED, NOT_WATCHING }

    private inner class ReadableCallback : Callback {
        override fun succeeded() = onReadable()

        override fun failed(x: Throwable) = this@CloseWatch.onReadFailed(x)

        override fun getInvocationType(): Invocable.InvocationType =
            Invocable.InvocationType.NON_BLOCKING
    }

    private companion object {
        const val EARLY_READ_BYTES = 4096
        const val END_OF_INPUT = -1
    }
}
