package org.bilberrycart.gateway.http

import org.eclipse.jetty.client.BufferingResponseListener
import org.eclipse.jetty.client.Request
import org.eclipse.jetty.client.Response
import org.eclipse.jetty.io.Connection
import org.eclipse.jetty.io.Content

/**
 * Collects an answer of at most [maxBytes]; a longer one fails.
 *
 * Its content counts as progress of the connection. A connection on which bytes arrive that never
 * become content is ended, see [HttpClients].
 */
public abstract class WholeAnswerListener(maxBytes: Int) : BufferingResponseListener(maxBytes) {
    override fun onHeaders(response: Response) {
        response.request.noteProgress()
        response.request.noteAnswer()
        super.onHeaders(response)
    }

    override fun onContent(response: Response, chunk: Content.Chunk, demander: Runnable) {
        response.request.noteProgress()
        super.onContent(response, chunk, demander)
    }
}

/** Tells the connection of this request that it was sent or that content of its answer arrived. */
internal fun Request.noteProgress() {
    endPoint()?.noteProgress()
}

/**
 * Tells the connection of this request that the head of an answer arrived; returns whether the
 * connection had brought an answer before.
 */
internal fun Request.noteAnswer(): Boolean = endPoint()?.noteAnswer() ?: true

private fun Request.endPoint() = (connection as? Connection)?.endPoint as? ResetAwareEndPoint
