package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.gateway.model.AttemptKey
import org.bilberrycart.gateway.model.Refusal
import org.bilberrycart.gateway.model.UpstreamAnswer
import org.bilberrycart.pipeline.Step

/** Ends calls, and cancels those of their attempts that are still in progress. */
internal object CallCompletion {
    private val DEFAULT_RETRY_AFTER = 250.milliseconds

    /** Ends [call] by delivering [answer], which came from attempt [finishedAttempt]. */
    fun deliver(
        state: PlacementState,
        call: ActiveCall,
        answer: UpstreamAnswer,
        finishedAttempt: Int?,
    ): Step<PlacementState, PlacementAction> = end(
        state,
        call,
        PlacementAction.Deliver(call, answer),
        why = "answered",
        finishedAttempt,
    )

    /** Ends [call] without a response; attempt [finishedAttempt] has ended and is not cancelled. */
    fun forget(
        state: PlacementState,
        call: ActiveCall,
        why: String,
        finishedAttempt: Int? = null,
    ): Step<PlacementState, PlacementAction> = end(
        state,
        call,
        PlacementAction.Forget(call, why),
        why,
        finishedAttempt,
    )

    /**
     * Ends [call] without a successful answer. An open stream is aborted; otherwise the caller gets
     * the error answer of an upstream, or a refusal that states whether the call may have run.
     */
    fun fail(
        state: PlacementState,
        call: ActiveCall,
        why: String,
        now: Duration,
        retryAfter: Duration = DEFAULT_RETRY_AFTER,
    ): Step<PlacementState, PlacementAction> {
        val finalAction = when {
            call.isStreamOpen -> PlacementAction.Abort(call, why)
            call.failedAnswer != null -> PlacementAction.Deliver(call, call.failedAnswer)
            call.possibleRuns == 0 -> PlacementAction.Refuse(call, Refusal.NotRun(why, retryAfter))
            now >= call.call.deadline -> PlacementAction.Refuse(call, Refusal.TimedOut(why))
            else -> PlacementAction.Refuse(call, Refusal.UpstreamFailed(why))
        }
        return end(state, call, finalAction, why)
    }

    private fun end(
        state: PlacementState,
        call: ActiveCall,
        finalAction: PlacementAction,
        why: String,
        finishedAttempt: Int? = null,
    ): Step<PlacementState, PlacementAction> {
        val cancels = call.attempts.values.filter { it.number != finishedAttempt }.map {
            PlacementAction.Cancel(AttemptKey(call.call.key, it.number), it.upstream, why)
        }
        val remaining = call.attempts.values.fold(state) { next, attempt ->
            next.withAttemptCounted(attempt, -1)
        }
        return Step(
            remaining.copy(calls = remaining.calls.remove(call.call.key)),
            (listOf(finalAction) + cancels).toPersistentList(),
        )
    }
}
