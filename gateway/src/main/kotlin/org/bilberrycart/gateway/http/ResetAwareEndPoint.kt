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
 * The end of a connection to an upstream, which tells a reset from an orderly close.
 *
 * Jetty reports both as the end of input. An answer without a length ends with its connection, so
 * there a reset would make the part that came look like the whole.
 */
internal class ResetAwareEndPoint(
    channel: SocketChannel,
    selector: ManagedSelector,
    key: SelectionKey,
    scheduler: Scheduler,
) : SocketChannelEndPoint(channel, selector, key, scheduler) {
    override fun fill(buffer: ByteBuffer): Int {
        if (isInputShutdown) return END
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
        if (count == END) shutdownInput()
        return count
    }

    private companion object {
        const val END = -1
    }
}
