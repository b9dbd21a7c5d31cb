package org.bilberrycart.bench.pipeline

import org.bilberrycart.dispatch.UpstreamEvent
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.FinishReason
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.Token
import org.bilberrycart.model.Upstream

/**
 * A stream that a fake engine runs.
 *
 * @property next the index of the token that it sends next.
 * @property isSilent whether its connection has gone silent for good.
 */
internal data class FakeStream(
    val attempt: AttemptId,
    val request: GenerationRequest,
    val upstream: Upstream,
    val next: Int,
    val isSilent: Boolean = false,
) {
    /** What the stream sends now. */
    fun event(): UpstreamEvent = if (next < answerLength(request)) {
        UpstreamEvent.TokenArrived(attempt, expectedToken(request, next))
    } else {
        UpstreamEvent.Finished(attempt, FinishReason.STOP, next)
    }
}

/** The right token of [request] at [index]. */
internal fun expectedToken(request: GenerationRequest, index: Int): Token =
    Token(index, "${request.prompt}#$index")

/** The number of tokens in the right answer to [request]. */
internal fun answerLength(request: GenerationRequest): Int = request.sampling.maxTokens
