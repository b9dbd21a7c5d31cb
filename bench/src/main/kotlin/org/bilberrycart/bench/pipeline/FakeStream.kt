package org.bilberrycart.bench.pipeline

import org.bilberrycart.dispatch.UpstreamEvent
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.FinishReason
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.Token
import org.bilberrycart.model.Upstream

/**
 * The stream of one attempt on a fake engine.
 *
 * @property next the index of the token that the stream sends next.
 * @property isSilent whether the connection of the stream carries nothing more.
 */
internal data class FakeStream(
    val attempt: AttemptId,
    val request: GenerationRequest,
    val upstream: Upstream,
    val next: Int,
    val isSilent: Boolean = false,
) {
    /** Returns the event that the stream sends next: a token, or the finish after the last one. */
    fun nextEvent(): UpstreamEvent = if (next < answerLength(request)) {
        UpstreamEvent.TokenArrived(attempt, expectedToken(request, next))
    } else {
        UpstreamEvent.Finished(attempt, FinishReason.STOP, next)
    }
}

/** Returns the token that an answer to [request] must have at [index]. */
internal fun expectedToken(request: GenerationRequest, index: Int): Token =
    Token(index, "${request.prompt}#$index")

/** Returns the number of tokens that a whole answer to [request] has. */
internal fun answerLength(request: GenerationRequest): Int = request.sampling.maxTokens
