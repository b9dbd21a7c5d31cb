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

/** An event that a journal shard handles. */
public sealed class JournalEvent {
    /** The request that the event concerns; null for an event that concerns all requests. */
    public abstract val request: RequestId?

    /** A new generation starts in epoch 1; its attempt 1 was already submitted for placement. */
    public data class Opened(
        val generation: GenerationRequest,
        val policy: GenerationPolicy = GenerationPolicy(),
    ) : JournalEvent() {
        override val request: RequestId get() = generation.id
    }

    /** This node takes over a generation with the [tokens] that were replicated. */
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
     * The engine is not stopped, since the new owner may read its stream.
     */
    public data class OwnershipLost(override val request: RequestId, val epoch: Int) :
        JournalEvent()

    /** [attempt] was sent to [upstream]. */
    public data class Placed(val attempt: AttemptId, val upstream: UpstreamId) : JournalEvent() {
        override val request: RequestId get() = attempt.request
    }

    /** The engine accepted [attempt]; it produces tokens once it has a free slot. */
    public data class Accepted(val attempt: AttemptId) : JournalEvent() {
        override val request: RequestId get() = attempt.request
    }

    /** No upstream can run [attempt]; [code] is the reason. */
    public data class Unplaceable(val attempt: AttemptId, val code: ResultCode) : JournalEvent() {
        override val request: RequestId get() = attempt.request
    }

    /** [attempt] produced [token]. */
    public data class TokenArrived(val attempt: AttemptId, val token: Token) : JournalEvent() {
        override val request: RequestId get() = attempt.request
    }

    /** [attempt] finished after [tokenCount] tokens, including those of its prefix. */
    public data class AttemptFinished(
        val attempt: AttemptId,
        val reason: FinishReason,
        val tokenCount: Int,
    ) : JournalEvent() {
        override val request: RequestId get() = attempt.request
    }

    /** [attempt] broke off before it finished. */
    public data class AttemptLost(val attempt: AttemptId, val cause: LossCause) : JournalEvent() {
        override val request: RequestId get() = attempt.request
    }

    /** The probe of the upstream of [attempt] ended; [isAlive] if the upstream responded. */
    public data class ProbeEnded(val attempt: AttemptId, val isAlive: Boolean) : JournalEvent() {
        override val request: RequestId get() = attempt.request
    }

    /** Stop the generation with [code], for example because its caller cancelled it. */
    public data class Stop(override val request: RequestId, val code: ResultCode) : JournalEvent()

    /** [upstream] no longer exists. */
    public data class UpstreamGone(val upstream: UpstreamId) : JournalEvent() {
        override val request: RequestId? get() = null
    }

    /** The periodic timer event. */
    public data object Tick : JournalEvent() {
        override val request: RequestId? get() = null
    }
}
