package org.bilberrycart.gateway.http

import java.nio.ByteBuffer
import org.eclipse.jetty.server.Handler
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.util.Callback

/** Answers questions about the node itself: whether it is ready, its tables and metrics. */
internal class StatusHandler(
    private val readyTarget: String,
    private val isReady: () -> Boolean,
    private val table: (String) -> ByteArray?,
    private val metrics: () -> String,
) : Handler.Abstract.NonBlocking() {
    override fun handle(request: Request, response: Response, callback: Callback): Boolean {
        val path = request.httpURI.path
        val copy = if (path.startsWith(TABLE_PATH)) table(path.removePrefix(TABLE_PATH)) else null
        when {
            path == readyTarget -> answer(response, callback, if (isReady()) OK else UNAVAILABLE)
            path == METRICS_PATH -> answer(response, callback, OK, metrics().toByteArray())
            copy != null -> answer(response, callback, OK, copy)
            else -> answer(response, callback, NOT_FOUND)
        }
        return true
    }

    private fun answer(
        response: Response,
        callback: Callback,
        status: Int,
        body: ByteArray = ByteArray(0),
    ) {
        response.status = status
        response.write(true, ByteBuffer.wrap(body), callback)
    }

    companion object {
        /** The path under which peers find the tables of the store. */
        const val TABLE_PATH = "/tables/"
        private const val METRICS_PATH = "/metrics"
        private const val OK = 200
        private const val NOT_FOUND = 404
        private const val UNAVAILABLE = 503
    }
}
