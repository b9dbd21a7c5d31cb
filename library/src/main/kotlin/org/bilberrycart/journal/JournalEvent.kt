package org.bilberrycart.journal

import kotlinx.collections.immutable.PersistentList
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.FinishReason
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.LossCause
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ResultCode
import org.bilberrycart.model.Token
import org.bilberrycart.model.UpstreamId

/** What a journal shard reacts to. */
public sealed class JournalEvent {
    /** The request that the event concerns; null for events that concern all. */
    public abstract val request: RequestId?

    /** A new generation starts in epoch 1 with attempt 1, which is on its way to routing. */
    public data class Opened(
        val generation: GenerationRequest,
        val policy: GenerationPolicy = GenerationPolicy(),
    ) : JournalEvent() {
        override val request: RequestId get() = generation.id
    }

    /** This node takes over a generation with the [tokens] that its replica held. */
    public data class Adopted(
        val generation: GenerationRequest,
        val epoch: Int,
        val tokens: PersistentList<Token>,
        val policy: GenerationPolicy = GenerationPolicy(),
    ) : JournalEvent() {
        override val request: RequestId get() = generation.id
    }

    /**
     * Another node owns the generation now, in a later epoch than [epoch].
     *
     * The stream of the engine is left alone, since the new owner may read it.
     */
    public data class Disowned(override val request: RequestId, val epoch: Int) : JournalEvent()

    /** [attempt] was sent to [upstream]. */
    public data class Placed(val attempt: AttemptId, val upstream: UpstreamId) : JournalEvent() {
        override val request: RequestId get() = attempt.request
    }

    /** The engine accepted [attempt]; tokens follow once it has a free slot. */
    public data class Accepted(val attempt: AttemptId) : JournalEvent() {
        override val request: RequestId get() = attempt.request
    }

    /** No upstream can take [attempt]. */
    public data class Unplaceable(val attempt: AttemptId, val code: ResultCode) : JournalEvent() {
        override val request: RequestId get() = attempt.request
    }

    /** [attempt] produced [token]. */
    public data class TokenArrived(val attempt: AttemptId, val token: Token) : JournalEvent() {
        override val request: RequestId get() = attempt.request
    }

    /** [attempt] finished after [tokenCount] tokens, those of its prefix included. */
    public data class AttemptFinished(
        val attempt: AttemptId,
        val reason: FinishReason,
        val tokenCount: Int,
    ) : JournalEvent() {
        override val request: RequestId get() = attempt.request
    }

    /** [attempt] was lost. */
    public data class AttemptLost(val attempt: AttemptId, val cause: LossCause) : JournalEvent() {
        override val request: RequestId get() = attempt.request
    }

    /** The probe of the upstream of [attempt] ended; [isAlive] tells whether it answered. */
    public data class ProbeEnded(val attempt: AttemptId, val isAlive: Boolean) : JournalEvent() {
        override val request: RequestId get() = attempt.request
    }

    /** The generation stops with [code], such as when its caller cancels. */
    public data class Stop(override val request: RequestId, val code: ResultCode) : JournalEvent()

    /** [upstream] is known to be gone. */
    public data class UpstreamGone(val upstream: UpstreamId) : JournalEvent() {
        override val request: RequestId? get() = null
    }

    /** Time has passed. */
    public data object Tick : JournalEvent() {
        override val request: RequestId? get() = null
    }
}
