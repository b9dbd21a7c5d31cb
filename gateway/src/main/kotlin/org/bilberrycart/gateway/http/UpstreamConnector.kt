package org.bilberrycart.gateway.http

import java.nio.channels.SelectableChannel
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel
import org.eclipse.jetty.io.ClientConnector
import org.eclipse.jetty.io.EndPoint
import org.eclipse.jetty.io.ManagedSelector

/** Opens connections to upstreams that use [ResetAwareEndPoint]. */
internal class UpstreamConnector : ClientConnector() {
    override fun newEndPoint(
        selectable: SelectableChannel,
        selector: ManagedSelector,
        selectionKey: SelectionKey,
    ): EndPoint = ResetAwareEndPoint(selectable as SocketChannel, selector, selectionKey, scheduler)
}
