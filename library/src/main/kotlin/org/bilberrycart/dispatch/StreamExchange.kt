package org.bilberrycart.dispatch

import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.LossCause
import org.bilberrycart.model.Request
import org.bilberrycart.model.Upstream
import org.eclipse.jetty.client.Request as HttpRequest

/** An exchange whose response is an engine's event stream. */
internal class StreamExchange(
    attempt: AttemptId,
    request: Request,
    upstream: Upstream,
    http: HttpRequest,
    output: UpstreamOutput,
) : Exchange(attempt, request, upstream, http, output) {
    private val reader = EventStreamReader()

    @Volatile private var status = 0

    @Volatile private var isOver = false

    override fun onStatus(status: Int) {
        this.status = status
        if (status == STATUS_OK) emit(UpstreamEvent.Accepted(attempt))
    }

    override fun onContent(bytes: ByteArray) {
        if (status != STATUS_OK || isOver) return
        try {
            reader.feed(bytes) { event -> if (!isOver) take(event) }
        } catch (e: IllegalArgumentException) {
            isOver = true
            lose(LossCause.PROTOCOL)
        }
    }

    private fun take(event: EventStreamReader.StreamEvent) {
        val decoded = EngineMessages.decode(attempt, event)
        isOver = decoded is UpstreamEvent.Finished || decoded is UpstreamEvent.Lost
        if (isOver) end(decoded) else emit(decoded)
        if (decoded is UpstreamEvent.Finished) close()
    }

    override fun onEnd() {
        if (isOver) return
        isOver = true
        lose(if (status == STATUS_OK) LossCause.ENDED_EARLY else LossCause.REFUSED)
    }

    override fun onFailure() {
        if (isOver) return
        isOver = true
        super.onFailure()
    }

    private companion object {
        const val STATUS_OK = 200
    }
}
