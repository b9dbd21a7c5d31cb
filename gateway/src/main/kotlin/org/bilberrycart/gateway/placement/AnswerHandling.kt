package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.gateway.model.AnswerHead
import org.bilberrycart.gateway.model.AttemptKey
import org.bilberrycart.gateway.model.UpstreamAnswer
import org.bilberrycart.gateway.model.UpstreamId
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then

/** Handles complete answers of upstreams: delivers them, retries the call, or fails it. */
internal class AnswerHandling(private val lossRecovery: LossRecovery) {
    fun handle(
        state: PlacementState,
        key: AttemptKey,
        answer: UpstreamAnswer,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val call = state.calls[key.call] ?: return Step(state)
        val attempt = call.attempts[key.number] ?: return Step(state)
        val head = answer.head
        val isOwn = head.requestId == call.call.head.requestId
        val isForOtherCall = head.requestId != null && !isOwn
        return when {
            isForOtherCall -> lossRecovery.attemptFailed(state, key, "answer to another call", now)
            head.isMisdirected -> misdirected(state, call, attempt, head.upstream, now)
            head.didNotRun -> notRun(state, call, attempt, head.status, now)
            call.isStreamOpen ->
                lossRecovery.attemptFailed(state, key, "status ${head.status} for a resume", now)
            head.isSuccess && head.isSigned && isOwn ->
                CallCompletion.deliver(
                    recordAnswer(state, call, attempt, head, now),
                    call,
                    answer,
                    attempt.number,
                )
            head.isSuccess || !head.isSigned || !isOwn ->
                lossRecovery.attemptFailed(state, key, "answer without signature or id", now)
            head.status >= FIRST_SERVER_ERROR && call.call.route.retryRule.isRetryable ->
                retry(
                    recordAnswer(state, call, attempt, head, now),
                    call,
                    attempt,
                    answer,
                    now,
                )
            else -> CallCompletion.deliver(
                recordAnswer(state, call, attempt, head, now),
                call,
                answer,
                attempt.number,
            )
        }
    }

    /**
     * Records that the upstream of [attempt] answered with [head].
     *
     * A server error clears no crashes: the upstream may have failed before it began the call.
     */
    private fun recordAnswer(
        state: PlacementState,
        call: ActiveCall,
        attempt: Attempt,
        head: AnswerHead,
        now: Duration,
    ): PlacementState {
        val seen = state.update(attempt.upstream) { it.withSignOfLife(now) }
        return if (head.status >= FIRST_SERVER_ERROR) seen else seen.withCallAnswered(call, now)
    }

    private fun misdirected(
        state: PlacementState,
        call: ActiveCall,
        attempt: Attempt,
        actual: UpstreamId?,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val next = state.update(attempt.upstream) { it.copy(isReplaced = true) }
        val change = PlacementAction.UpstreamStatusChanged(
            attempt.upstream,
            "replaced",
            "by ${actual?.value}",
        )
        val identify = state.upstreams[attempt.upstream]
            ?.takeIf { !it.isReplaced && actual != null && state.isNew(actual) }
            ?.let { PlacementAction.Identify(it.entry, actual!!) }
        return Step(next, listOfNotNull<PlacementAction>(change, identify).toPersistentList())
            .then { placeElsewhere(it, call, attempt, now, "misdirected") }
    }

    /**
     * Places [call] again after the upstream stated that it did not run it. A refused resume from a
     * KV cache copy is no sign of a fault, so the upstream is not marked down.
     */
    private fun notRun(
        state: PlacementState,
        call: ActiveCall,
        attempt: Attempt,
        status: Int,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val next = state.update(attempt.upstream) { it.withSignOfLife(now).withFailure(now) }
        val rejected = call.copy(rejections = call.rejections + 1, rejectedAt = now)
        return placeElsewhere(next, rejected, attempt, now, "upstream says not run, status $status")
    }

    private fun placeElsewhere(
        state: PlacementState,
        call: ActiveCall,
        attempt: Attempt,
        now: Duration,
        why: String,
    ): Step<PlacementState, PlacementAction> {
        val remaining = call.copy(
            attempts = call.attempts.remove(attempt.number),
            possibleRuns = call.possibleRuns - attempt.possibleRuns,
        )
        return lossRecovery.continueCall(state.withAttemptCounted(attempt, -1), remaining, now, why)
    }

    private fun retry(
        state: PlacementState,
        call: ActiveCall,
        attempt: Attempt,
        answer: UpstreamAnswer,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val remaining = call.copy(
            attempts = call.attempts.remove(attempt.number),
            failedAnswer = answer,
        )
        val next = state.update(attempt.upstream) { it.withFailure(now) }
            .withAttemptCounted(attempt, -1)
        return lossRecovery.continueCall(next, remaining, now, "status ${answer.head.status}")
    }

    private companion object {
        const val FIRST_SERVER_ERROR = 500
    }
}
