package org.bilberrycart.gateway.http

import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel
import org.eclipse.jetty.io.ManagedSelector
import org.eclipse.jetty.io.SocketChannelEndPoint
import org.eclipse.jetty.util.BufferUtil
import org.eclipse.jetty.util.thread.Scheduler

/**
 * The endpoint of a connection to an upstream, which distinguishes a reset from an orderly close
 * and ends a connection whose bytes never become part of an answer.
 *
 * Jetty reports a reset as the end of input. An answer without a length ends when its connection
 * closes, so a reset would make a truncated answer look complete.
 */
internal class ResetAwareEndPoint(
    channel: SocketChannel,
    selector: ManagedSelector,
    key: SelectionKey,
    scheduler: Scheduler,
) : SocketChannelEndPoint(channel, selector, key, scheduler) {
    @Volatile private var bytesSinceProgress = 0L

    @Volatile private var hasAnswered = false

    /** Notes that the head of an answer arrived; returns whether one had arrived before. */
    fun noteAnswer(): Boolean = hasAnswered.also { hasAnswered = true }

    /** Notes that a request was sent or that content of an answer arrived. */
    fun noteProgress() {
        bytesSinceProgress = 0
    }

    override fun fill(buffer: ByteBuffer): Int {
        if (isInputShutdown) return END_OF_INPUT
        val position = BufferUtil.flipToFill(buffer)
        val count = try {
            channel.read(buffer)
        } catch (e: IOException) {
            shutdownInput()
            throw e
        } finally {
            BufferUtil.flipToFlush(buffer, position)
        }
        if (count > 0) notIdle()
        if (count == END_OF_INPUT) shutdownInput()
        checkProgress(count)
        return count
    }

    private fun checkProgress(count: Int) {
        val bytes = bytesSinceProgress + maxOf(0, count)
        bytesSinceProgress = bytes
        if (bytes > MAX_BYTES_WITHOUT_PROGRESS) {
            shutdownInput()
            throw IOException("no content in the last $bytes bytes")
        }
    }

    private companion object {
        const val END_OF_INPUT = -1

        /** Far above the size of heads; reached by interim answers or chunk headers without end. */
        const val MAX_BYTES_WITHOUT_PROGRESS = 512 * 1024
    }
}
