package org.bilberrycart.gateway.http

import java.nio.ByteBuffer
import org.eclipse.jetty.server.Handler
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.util.Callback

/** Serves the readiness, the table copies and the metrics of this node. */
internal class StatusHandler(
    private val readinessTarget: String,
    private val isReady: () -> Boolean,
    private val tableCopyOf: (String) -> ByteArray?,
    private val metricsText: () -> String,
) : Handler.Abstract.NonBlocking() {
    override fun handle(request: Request, response: Response, callback: Callback): Boolean {
        val path = request.httpURI.path
        val tableCopy =
            if (path.startsWith(TABLE_PATH)) tableCopyOf(path.removePrefix(TABLE_PATH)) else null
        when {
            path == readinessTarget ->
                answer(response, callback, if (isReady()) OK else UNAVAILABLE)
            path == METRICS_PATH -> answer(response, callback, OK, metricsText().toByteArray())
            tableCopy != null -> answer(response, callback, OK, tableCopy)
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
        /** The path prefix under which peers fetch this node's copies of the store's tables. */
        const val TABLE_PATH = "/tables/"
        private const val METRICS_PATH = "/metrics"
        private const val OK = 200
        private const val NOT_FOUND = 404
        private const val UNAVAILABLE = 503
    }
}
