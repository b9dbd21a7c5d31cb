package org.bilberrycart.gateway.http

import java.nio.channels.SelectableChannel
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel
import org.eclipse.jetty.io.ClientConnector
import org.eclipse.jetty.io.EndPoint
import org.eclipse.jetty.io.ManagedSelector

/** Opens connections to upstreams that use [ResetAwareEndPoint]. */
internal class UpstreamConnector : ClientConnector() {
    init {
        // Left to itself the kernel buffers up to 32 MiB for a connection that is read slowly.
        receiveBufferSize = RECEIVE_BUFFER_BYTES
    }

    override fun newEndPoint(
        selectable: SelectableChannel,
        selector: ManagedSelector,
        selectionKey: SelectionKey,
    ): EndPoint = ResetAwareEndPoint(selectable as SocketChannel, selector, selectionKey, scheduler)

    private companion object {
        const val RECEIVE_BUFFER_BYTES = 128 * 1024
    }
}
