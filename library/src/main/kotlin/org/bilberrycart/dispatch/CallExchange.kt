package org.bilberrycart.dispatch

import java.io.ByteArrayOutputStream
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.LossCause
import org.bilberrycart.model.Request
import org.bilberrycart.model.Upstream
import org.eclipse.jetty.client.Request as HttpRequest

/**
 * An exchange with a plain service, whose response body is the whole answer.
 *
 * The body is collected in memory. A body longer than [maxReplyBytes] ends the exchange with
 * [LossCause.PROTOCOL].
 */
internal class CallExchange(
    attempt: AttemptId,
    request: Request,
    upstream: Upstream,
    http: HttpRequest,
    output: UpstreamOutput,
    private val maxReplyBytes: Int,
) : Exchange(attempt, request, upstream, http, output) {
    private val body = ByteArrayOutputStream()

    @Volatile private var status = 0

    @Volatile private var isTooLong = false

    override fun onStatus(status: Int) {
        this.status = status
    }

    override fun onContent(bytes: ByteArray) {
        if (body.size() + bytes.size > maxReplyBytes) isTooLong = true else body.write(bytes)
    }

    override fun onEnd() {
        if (isTooLong) {
            fail(LossCause.PROTOCOL)
        } else {
            end(UpstreamEvent.Replied(attempt, status, body.toString(Charsets.UTF_8)))
        }
        close()
    }

    override fun onFailure() {
        super.onFailure()
        close()
    }
}
