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
 * The end of a caller's connection, which notices that the caller closes it during a request.
 *
 * Jetty reads nothing while a request is handled. From [watch] on, this end waits for bytes itself;
 * bytes of a next request are kept for Jetty.
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
    private var reader: Callback? = null
    private var early: ByteBuffer? = null

    /** Calls [onClose] once if the caller closes its side before the next request is read. */
    fun watch(onClose: () -> Unit) {
        val mustRegister = lockedWatch(onClose)
        if (mustRegister && !super.tryFillInterested(Watcher())) lockedStop()
    }

    override fun fillInterested(callback: Callback) {
        when (takeOver(callback)) {
            Takeover.NOW -> callback.succeeded()
            Takeover.LATER -> Unit
            Takeover.NOT_WATCHING -> super.fillInterested(callback)
        }
    }

    override fun tryFillInterested(callback: Callback): Boolean = when (takeOver(callback)) {
        Takeover.NOW -> {
            callback.succeeded()
            true
        }
        Takeover.LATER -> true
        Takeover.NOT_WATCHING -> super.tryFillInterested(callback)
    }

    override fun fill(buffer: ByteBuffer): Int {
        val kept = takeEarly() ?: return super.fill(buffer)
        val moved = BufferUtil.append(buffer, kept)
        if (kept.hasRemaining()) keepEarly(kept)
        return moved
    }

    private fun readable() {
        val waiting = lockedStop()
        if (waiting != null) waiting.succeeded() else readEarly()
    }

    private fun readEarly() {
        val buffer = BufferUtil.allocate(EARLY_BYTES)
        val count = try {
            super.fill(buffer)
        } catch (e: java.io.IOException) {
            CLOSED
        }
        when {
            count < 0 -> takeOnClose()?.invoke()
            count > 0 -> keepEarly(buffer)
            else -> takeOnClose()?.let { watch(it) }
        }
    }

    private fun failed(cause: Throwable) {
        val waiting = lockedStop()
        if (waiting != null) waiting.failed(cause) else takeOnClose()?.invoke()
    }

    private fun lockedWatch(callback: () -> Unit): Boolean = synchronized(lock) {
        onClose = callback
        val mustRegister = !isWatching && early == null
        if (mustRegister) isWatching = true
        mustRegister
    }

    private fun lockedStop(): Callback? = synchronized(lock) {
        isWatching = false
        reader.also { reader = null }
    }

    private fun takeOver(callback: Callback): Takeover = synchronized(lock) {
        onClose = null
        when {
            early != null -> Takeover.NOW
            isWatching -> {
                reader = callback
                Takeover.LATER
            }
            else -> Takeover.NOT_WATCHING
        }
    }

    private fun takeOnClose(): (() -> Unit)? = synchronized(lock) {
        onClose.also { onClose = null }
    }

    private fun takeEarly(): ByteBuffer? = synchronized(lock) { early.also { early = null } }

    private fun keepEarly(buffer: ByteBuffer): Unit = synchronized(lock) { early = buffer }

    private enum class Takeover { NOW, LATER, NOT_WATCHING }

    private inner class Watcher : Callback {
        override fun succeeded() = readable()

        override fun failed(x: Throwable) = this@CloseWatch.failed(x)

        override fun getInvocationType(): Invocable.InvocationType =
            Invocable.InvocationType.NON_BLOCKING
    }

    private companion object {
        const val EARLY_BYTES = 4096
        const val CLOSED = -1
    }
}
