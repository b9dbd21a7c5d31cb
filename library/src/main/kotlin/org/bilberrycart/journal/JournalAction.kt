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

/** What a journal shard asks for. */
public sealed class JournalAction {
    /** The generation starts (or goes on) in [epoch]; replication makes a replica of it. */
    public data class Begin(val generation: GenerationRequest, val epoch: Int) : JournalAction()

    /** [token] is the next one of the generation; it goes to replication. */
    public data class Append(val request: RequestId, val epoch: Int, val token: Token) :
        JournalAction()

    /** The generation is over; [end] follows its last token. */
    public data class Complete(val request: RequestId, val epoch: Int, val end: AnswerPart) :
        JournalAction()

    /** Find an upstream that continues the generation. */
    public data class Resume(val placement: Placement) : JournalAction()

    /** Stop [attempt]; it is no longer the current one. */
    public data class CancelAttempt(val attempt: AttemptId) : JournalAction()

    /** Stop reading the stream of [attempt], but let the engine go on. */
    public data class Detach(val attempt: AttemptId) : JournalAction()

    /** [attempt] is not wanted any more and has not been placed yet. */
    public data class Withdraw(val attempt: AttemptId) : JournalAction()

    /** Ask the silent upstream of [attempt] on a new connection. */
    public data class Probe(val attempt: AttemptId) : JournalAction()

    /** Read the stream of [attempt] again from index [from] on a new connection. */
    public data class Reattach(val attempt: AttemptId, val from: Int) : JournalAction()

    /** Tell routing how [attempt] ended on [upstream]. */
    public data class ReportOutcome(
        val attempt: AttemptId,
        val upstream: UpstreamId,
        val outcome: AttemptOutcome,
    ) : JournalAction()

    /** Count a token that is not accepted. */
    public data class CountStray(val attempt: AttemptId, val index: Int) : JournalAction()

    /** Count the loss of [attempt]. */
    public data class CountLoss(val attempt: AttemptId, val cause: LossCause) : JournalAction()

    /** Count a resumed generation: [latency] from the last token before the loss to the next. */
    public data class CountResume(val request: RequestId, val latency: Duration) : JournalAction()
}
