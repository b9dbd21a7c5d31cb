package org.bilberrycart.dispatch

import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.LossCause
import org.bilberrycart.model.Request
import org.bilberrycart.model.Upstream
import org.eclipse.jetty.client.Request as HttpRequest

/**
 * An exchange with an engine, whose response is an event stream.
 *
 * A stream that ends without a `finish` event is lost as [LossCause.ENDED_EARLY], a response with
 * another status than 200 as [LossCause.REFUSED], and a malformed event as [LossCause.PROTOCOL].
 */
internal class StreamExchange(
    attempt: AttemptId,
    request: Request,
    upstream: Upstream,
    http: HttpRequest,
    output: UpstreamOutput,
) : Exchange(attempt, request, upstream, http, output) {
    private val reader = EventStreamReader()

    @Volatile private var status = 0

    @Volatile private var hasEnded = false

    override fun onStatus(status: Int) {
        this.status = status
        if (status == STATUS_OK) emit(UpstreamEvent.Accepted(attempt))
    }

    override fun onContent(bytes: ByteArray) {
        if (status != STATUS_OK || hasEnded) return
        try {
            reader.feed(bytes) { event -> if (!hasEnded) handle(event) }
        } catch (e: IllegalArgumentException) {
            hasEnded = true
            fail(LossCause.PROTOCOL)
        }
    }

    private fun handle(event: EventStreamReader.StreamEvent) {
        val decoded = EngineMessages.decode(attempt, event)
        hasEnded = decoded is UpstreamEvent.Finished || decoded is UpstreamEvent.Lost
        if (hasEnded) end(decoded) else emit(decoded)
        if (decoded is UpstreamEvent.Finished) close()
    }

    override fun onEnd() {
        if (hasEnded) return
        hasEnded = true
        fail(if (status == STATUS_OK) LossCause.ENDED_EARLY else LossCause.REFUSED)
    }

    override fun onFailure() {
        if (hasEnded) return
        hasEnded = true
        super.onFailure()
    }

    private companion object {
        const val STATUS_OK = 200
    }
}
