package org.bilberrycart.gateway.http

import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel
import org.eclipse.jetty.io.ManagedSelector
import org.eclipse.jetty.io.SocketChannelEndPoint
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector

/** A server connector whose connections use [CloseWatch]. */
internal class CloseWatchConnector(server: Server, http: HttpConnectionFactory) :
    ServerConnector(server, null, null, null, ACCEPTORS, SELECTORS, http) {
    /** How many bytes a request may take with all that frames its body. */
    @Volatile var maxRequestBytes: Long = Long.MAX_VALUE

    override fun newEndPoint(
        channel: SocketChannel,
        selectSet: ManagedSelector,
        key: SelectionKey,
    ): SocketChannelEndPoint {
        val endPoint = CloseWatch(channel, selectSet, key, scheduler) { maxRequestBytes }
        endPoint.idleTimeout = idleTimeout
        return endPoint
    }

    private companion object {
        /** No acceptor threads: the selector's thread accepts connections. */
        const val ACCEPTORS = 0
        const val SELECTORS = 1
    }
}
