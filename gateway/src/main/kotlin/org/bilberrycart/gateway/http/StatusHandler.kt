package org.bilberrycart.gateway.http

import java.nio.ByteBuffer
import org.eclipse.jetty.server.Handler
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.util.Callback

/** Answers questions about the node itself: whether it is ready, and its metrics. */
internal class StatusHandler(
    private val readyTarget: String,
    private val isReady: () -> Boolean,
    private val metrics: () -> String,
) : Handler.Abstract.NonBlocking() {
    override fun handle(request: Request, response: Response, callback: Callback): Boolean {
        when (request.httpURI.path) {
            readyTarget -> answer(response, callback, if (isReady()) OK else UNAVAILABLE, "")
            METRICS_PATH -> answer(response, callback, OK, metrics())
            else -> answer(response, callback, NOT_FOUND, "")
        }
        return true
    }

    private fun answer(response: Response, callback: Callback, status: Int, text: String) {
        response.status = status
        response.write(true, ByteBuffer.wrap(text.toByteArray()), callback)
    }

    private companion object {
        const val METRICS_PATH = "/metrics"
        const val OK = 200
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503
    }
}
