package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.gateway.model.AttemptKey
import org.bilberrycart.gateway.model.RetryRule
import org.bilberrycart.gateway.model.StreamOrigin
import org.bilberrycart.gateway.model.UpstreamId
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then
import org.bilberrycart.pipeline.withActions

/** Handles the loss of attempts and upstreams: retries the affected calls or fails them. */
internal class LossRecovery(
    private val settings: PlacementSettings,
    private val callPlacement: CallPlacement,
    private val retryBudgets: RetryBudgets,
) {
    /** Marks the upstream down and retries the call, as nothing of attempt [key] reached it. */
    fun unsent(
        state: PlacementState,
        key: AttemptKey,
        cause: String,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val call = state.calls[key.call] ?: return Step(state)
        val attempt = call.attempts[key.number] ?: return Step(state)
        return markDown(state, attempt.upstream, cause, now)
            .then {
                val noted = call.copy(
                    unsentAttempts =
                    call.unsentAttempts + unsentCount(attempt, now),
                )
                withdraw(it, noted, attempt, now, "unsent, $cause")
            }
    }

    /** Returns what an attempt that was never sent counts; one that hung is enough to forward. */
    private fun unsentCount(attempt: Attempt, now: Duration): Int =
        if (now - attempt.sentAt >= LONG_CONNECT) Forwarding.MAX_UNSENT else 1

    /** Sends a stream to an upstream of the software version that has begun it meanwhile. */
    fun begunElsewhere(
        state: PlacementState,
        event: PlacementEvent.BegunElsewhere,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val call = state.calls[event.attempt.call] ?: return Step(state)
        val attempt = call.attempts[event.attempt.number] ?: return Step(state)
        val begun = call.copy(origin = event.origin)
        return withdraw(state, begun, attempt, now, "begun at another software version")
    }

    /** Takes back [attempt], of which nothing was sent, and places [call] again. */
    private fun withdraw(
        state: PlacementState,
        call: ActiveCall,
        attempt: Attempt,
        now: Duration,
        why: String,
    ): Step<PlacementState, PlacementAction> {
        val remaining = call.copy(
            attempts = call.attempts.remove(attempt.number),
            possibleArrivals = call.possibleArrivals - 1,
            possibleRuns = call.possibleRuns - attempt.possibleRuns,
        )
        val counted = state.withAttemptCounted(attempt, -1)
        val refunded = retryBudgets.refund(counted, remaining, attempt)
        return continueCall(refunded, remaining, now, why)
    }

    /** Retries or fails the call after attempt [key] failed; the attempt may have run. */
    fun attemptFailed(
        state: PlacementState,
        key: AttemptKey,
        cause: String,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val call = state.calls[key.call] ?: return Step(state)
        val attempt = call.attempts[key.number] ?: return Step(state)
        val updated = when (call.call.route.retryRule) {
            is RetryRule.Stream -> markDown(state, attempt.upstream, cause, now)
            RetryRule.Idempotent, RetryRule.AtMostOnce ->
                Step(state.update(attempt.upstream) { it.withFailure(now) })
        }
        return updated.then { attemptLost(it, call, attempt, cause, now) }
    }

    /** Cancels [attempt], whose upstream no longer responds, and retries the call. */
    fun abandon(
        state: PlacementState,
        call: ActiveCall,
        attempt: Attempt,
        why: String,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val cancel = PlacementAction.Cancel(
            AttemptKey(call.call.key, attempt.number),
            attempt.upstream,
            why,
        )
        return Step(
            state.update(attempt.upstream) { it.withFailure(now) },
            persistentListOf<PlacementAction>(cancel),
        ).then { attemptLost(it, call.copy(isTakenFromSilent = true), attempt, why, now) }
    }

    /**
     * Marks upstream [id], which does not respond, as down and retries its retryable calls.
     *
     * A stream that can't go on elsewhere stays, since the upstream may only be silent.
     */
    fun upstreamDead(
        state: PlacementState,
        id: UpstreamId,
        cause: String,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val affected = state.calls.values.filter { call ->
            call.call.route.retryRule.isRetryable && id in call.upstreams()
        }
        return affected.fold(markDown(state, id, cause, now)) { step, call ->
            val attempt = call.attempts.values.first { it.upstream == id }
            step.then { next ->
                when {
                    mayGiveUp(next, call, now) -> abandon(next, call, attempt, cause, now)
                    else -> Step(next)
                }
            }
        }
    }

    /** Moves the streams to other versions that have not begun at those that they shall. */
    fun versionsLimited(
        state: PlacementState,
        event: PlacementEvent.VersionsLimited,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val limited = state.copy(beginOnlyAt = event.versions)
        val calls = state.calls.values.filter { call ->
            val allowed = limited.originOf(call)
            allowed != call.origin &&
                call.attempts.values.any {
                    it.sentAt > event.since && !allowed.allows(it.softwareVersion)
                }
        }
        return calls.fold(Step(limited)) { step, call ->
            val attempt = call.attempts.values.first()
            step.then { abandon(it, call, attempt, "can't be recorded at its version", now) }
        }
    }

    private fun mayGiveUp(state: PlacementState, call: ActiveCall, now: Duration): Boolean =
        when (call.call.route.retryRule) {
            is RetryRule.Stream -> callPlacement.canPlace(state, call, now)
            RetryRule.Idempotent, RetryRule.AtMostOnce -> true
        }

    private fun attemptLost(
        state: PlacementState,
        call: ActiveCall,
        attempt: Attempt,
        cause: String,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val copy = attempt.backup?.takeIf { attempt.hasEvents }
            ?.let { KvCacheCopy(it, call.call.head.requestId) }
        val remaining = call.copy(
            attempts = call.attempts.remove(attempt.number),
            lostAttempts = call.lostAttempts + 1,
            silentSince = (call.silentSince ?: attempt.lastSeenAt).takeIf { call.isStreamOpen },
            kvCacheCopy = copy ?: call.kvCacheCopy,
        )
        val next = state.withAttemptCounted(attempt, -1)
        val isOriginUnknown = attempt.isForwarded &&
            attempt.hasEvents &&
            call.origin == StreamOrigin.BegunAt(null)
        if (isOriginUnknown) return seekOrigin(next, remaining)
        return continueCall(next, remaining, now, "lost, $cause")
    }

    /** Asks where [call], which began through another node, may go on. */
    private fun seekOrigin(
        state: PlacementState,
        call: ActiveCall,
    ): Step<PlacementState, PlacementAction> {
        val waiting = call.copy(origin = StreamOrigin.Sought)
        return state.with(waiting).withActions(PlacementAction.SeekOrigin(waiting))
    }

    /** Retries or fails [call] after an attempt ended, unless another attempt is in progress. */
    fun continueCall(
        state: PlacementState,
        call: ActiveCall,
        now: Duration,
        why: String,
    ): Step<PlacementState, PlacementAction> = when {
        call.attempts.isNotEmpty() -> Step(state.with(call))
        call.possibleRuns > 0 && !call.call.route.retryRule.isRetryable ->
            CallCompletion.fail(state.with(call), call, why, now)
        else -> callPlacement.place(state, call, now, why)
    }

    private fun markDown(
        state: PlacementState,
        id: UpstreamId,
        cause: String,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val view = state.upstreams[id] ?: return Step(state)
        val doubled = settings.initialDownTime * (1 shl minOf(view.failures, MAX_DOUBLINGS))
        val until = now + minOf(doubled, settings.maxDownTime)
        val next = view.withFailure(now)
            .copy(failures = view.failures + 1, downUntil = until, probeSentAt = null)
        val change = PlacementAction.UpstreamStatusChanged(id, "down", cause)
        return Step(
            state.with(next),
            if (view.failures == 0) persistentListOf(change) else persistentListOf(),
        )
    }

    private companion object {
        const val MAX_DOUBLINGS = 4

        /** A connection that takes as long to be made hangs. */
        val LONG_CONNECT = 250.milliseconds
    }
}
