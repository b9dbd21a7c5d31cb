package org.bilberrycart.journal

import kotlin.time.Duration
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.AttemptOutcome
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.LossCause
import org.bilberrycart.model.Placement
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.Token
import org.bilberrycart.model.UpstreamId

/** An action that a journal shard requests. */
public sealed class JournalAction {
    /** The generation starts or continues in [epoch]; replication creates a replica of it. */
    public data class Begin(val generation: GenerationRequest, val epoch: Int) : JournalAction()

    /** Replicate [token], the next one of the generation. */
    public data class Append(val request: RequestId, val epoch: Int, val token: Token) :
        JournalAction()

    /** The generation has ended; [end] follows its last token. */
    public data class Complete(val request: RequestId, val epoch: Int, val end: AnswerPart) :
        JournalAction()

    /** Place a new attempt that continues the generation. */
    public data class Resume(val placement: Placement) : JournalAction()

    /** Stop [attempt]; it is no longer the current one. */
    public data class CancelAttempt(val attempt: AttemptId) : JournalAction()

    /** Stop reading the stream of [attempt] without stopping the engine. */
    public data class Detach(val attempt: AttemptId) : JournalAction()

    /** Remove [attempt], which is no longer needed, from the placement queue. */
    public data class Withdraw(val attempt: AttemptId) : JournalAction()

    /** Check on a new connection whether the silent upstream of [attempt] still responds. */
    public data class Probe(val attempt: AttemptId) : JournalAction()

    /** Reopen the stream of [attempt] from index [from] on a new connection. */
    public data class Reattach(val attempt: AttemptId, val from: Int) : JournalAction()

    /** Report to routing how [attempt] ended on [upstream]. */
    public data class ReportOutcome(
        val attempt: AttemptId,
        val upstream: UpstreamId,
        val outcome: AttemptOutcome,
    ) : JournalAction()

    /** Count a token that was not accepted. */
    public data class CountStray(val attempt: AttemptId, val index: Int) : JournalAction()

    /** Count the loss of [attempt]. */
    public data class CountLoss(val attempt: AttemptId, val cause: LossCause) : JournalAction()

    /**
     * Count a resumed generation; [latency] is the time from the last token before the loss to the
     * first token after it.
     */
    public data class CountResume(val request: RequestId, val latency: Duration) : JournalAction()
}
