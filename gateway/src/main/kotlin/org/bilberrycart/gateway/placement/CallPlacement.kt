package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.gateway.model.AttemptKey
import org.bilberrycart.gateway.model.RetryRule
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then

/** Dispatches calls to upstreams within the attempt limits of their routes and the retry budget. */
internal class CallPlacement(
    private val settings: PlacementSettings,
    private val retryBudgets: RetryBudgets,
) {
    private val forwarding = Forwarding()

    /**
     * Sends [call] to the best upstream, or keeps it waiting if none is usable.
     *
     * The call fails if its deadline has passed, calls with the same content have crashed upstreams
     * too often, or its attempts or the retry budget are used up. [why] is the reason for this
     * attempt, for the log and the caller.
     */
    fun place(
        state: PlacementState,
        call: ActiveCall,
        now: Duration,
        why: String,
    ): Step<PlacementState, PlacementAction> {
        val waiting = state.with(call)
        return when {
            now >= call.call.deadline -> CallCompletion.fail(
                waiting,
                call,
                "time is over, $why",
                now,
            )
            !state.mayStart(call, now) -> CallCompletion.fail(
                waiting,
                call,
                "upstreams break off when they begin it, $why",
                now,
                retryAfter = SUSPECT_RETRY_AFTER,
            )
            state.parts.blockedAmong(call.call.head.sharedParts, now) != null ->
                CallCompletion.fail(
                    waiting,
                    call,
                    "upstreams crash on a part of the prompt, $why",
                    now,
                    retryAfter = SUSPECT_RETRY_AFTER,
                )
            !call.hasAttemptsLeft -> CallCompletion.fail(
                waiting,
                call,
                "no attempt left, $why",
                now,
            )
            !retryBudgets.allows(state, call, now) -> awaitBudget(waiting, call, now, why)
            else -> dispatch(waiting, call, now, why)
        }
    }

    /**
     * Returns whether [call] could be sent to an upstream at once.
     *
     * An attempt whose upstream is silent is given up only then: the upstream may go on, and the
     * call would end for want of an attempt, of the retry budget or of an upstream.
     */
    fun canPlace(state: PlacementState, call: ActiveCall, now: Duration): Boolean {
        val selector = selector(state, call, now)
        return call.hasAttemptsLeft &&
            state.mayStart(call, now) &&
            state.parts.blockedAmong(call.call.head.sharedParts, now) == null &&
            retryBudgets.allows(state, call, now) &&
            (selector.usable.isNotEmpty() || forwarding.peerFor(state, call, selector) != null)
    }

    /**
     * Keeps a stream waiting for the retry budget for a limited time; fails other calls.
     *
     * An open stream that was taken from a silent upstream waits until its deadline: the upstream
     * may have gone on, so that the silence is no reason to break the stream off.
     */
    private fun awaitBudget(
        state: PlacementState,
        call: ActiveCall,
        now: Duration,
        why: String,
    ): Step<PlacementState, PlacementAction> {
        val since = call.overBudgetSince ?: now
        val use = retryBudgets.describe(state, call, now)
        val refused = listOfNotNull<PlacementAction>(
            PlacementAction.RetryRefused(call, use).takeIf { call.overBudgetSince == null },
        ).toPersistentList()
        val maxWait = when (call.call.route.retryRule) {
            is RetryRule.Stream -> streamBudgetWait(call)
            RetryRule.Idempotent, RetryRule.AtMostOnce -> Duration.ZERO
        }
        return Step(state, refused).then { next ->
            when {
                now - since < maxWait -> Step(next.with(call.copy(overBudgetSince = since)))
                else -> CallCompletion.fail(next, call, "$use, $why", now)
            }
        }
    }

    private fun streamBudgetWait(call: ActiveCall): Duration = when {
        call.isStreamOpen && call.isTakenFromSilent -> Duration.INFINITE
        else -> settings.budgetWait
    }

    /**
     * Keeps [call] waiting for an upstream, or rejects it at once if the rate limits or pauses of
     * all of them will not let it be sent in time.
     */
    private fun awaitUpstream(
        state: PlacementState,
        call: ActiveCall,
        selector: LeastLoadedSelector,
        now: Duration,
        why: String,
    ): Step<PlacementState, PlacementAction> {
        val quotaWait = selector.quotaWait(ahead = callsBefore(state, call)) ?: return Step(state)
        val latest = call.call.arrivedAt + call.call.route.objective * settings.waitShare
        if (call.isStreamOpen || now + quotaWait <= latest) return Step(state)
        val retryAfter = selector.spread(quotaWait.coerceIn(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
        return CallCompletion.fail(
            state.copy(seed = selector.nextSeed),
            call,
            "all upstreams are paused or at their rate limits, $why",
            now,
            retryAfter,
        )
    }

    /** Returns how many calls to the same service have waited longer than [call]. */
    private fun callsBefore(state: PlacementState, call: ActiveCall): Int =
        state.calls.values.count {
            it.isWaiting &&
                it.call.service.name == call.call.service.name &&
                it.call.arrivedAt < call.call.arrivedAt
        }

    /**
     * Sends [call] to a second upstream in parallel, if one that it has not tried is usable and
     * its attempts and the retry budget allow it.
     */
    fun hedge(
        state: PlacementState,
        call: ActiveCall,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val selector = selector(state, call, now)
        val choice = selector.choose(call)?.takeIf { it.entry.id !in call.triedUpstreams }
        val hasChoice = choice != null || forwarding.peerFor(state, call, selector) != null
        val mayHedge = call.hasAttemptsLeft && retryBudgets.allows(state, call, now) && hasChoice
        return if (mayHedge) dispatch(state, call, now, "hedge") else Step(state)
    }

    private fun selector(state: PlacementState, call: ActiveCall, now: Duration) =
        LeastLoadedSelector(state, call.call.service.name, now, state.originOf(call))

    private fun dispatch(
        state: PlacementState,
        call: ActiveCall,
        now: Duration,
        why: String,
    ): Step<PlacementState, PlacementAction> {
        val selector = selector(state, call, now)
        if (selector.hasNoneOfVersion) return failWithoutVersion(state, call, now, why)
        return when (val peer = forwarding.peerFor(state, call, selector)) {
            null -> dispatchDirectly(state, call, selector, now, why)
            else -> forwarding.send(state, call, peer, selector.nextSeed, now, why)
        }
    }

    private fun dispatchDirectly(
        state: PlacementState,
        call: ActiveCall,
        selector: LeastLoadedSelector,
        now: Duration,
        why: String,
    ): Step<PlacementState, PlacementAction> {
        val holder = selector.copyHolder(call.kvCacheCopy)
        val isUntried = holder != null || selector.hasUntried(call)
        if (call.isStreamOpen && !isUntried && call.isBackingOff(now)) return Step(state)
        val main = holder ?: selector.choose(call)
            ?: return awaitUpstream(state, call, selector, now, why)
        val backup = when (call.call.route.retryRule) {
            is RetryRule.Stream -> selector.chooseBackup(call.call, main)
            RetryRule.Idempotent, RetryRule.AtMostOnce -> null
        }
        val attempt = Attempt(
            number = call.dispatches + 1,
            upstream = main.entry.id,
            sentAt = now,
            isRetry = call.possibleArrivals > 0,
            softwareVersion = main.entry.softwareVersion,
            backup = backup?.entry?.id,
        )
        val order = SendOrder(
            attempt = AttemptKey(call.call.key, attempt.number),
            call = call.call,
            upstream = main.entry,
            timeLeft = call.call.deadline - now,
            backup = backup?.entry,
            resumesFrom = call.kvCacheCopy.takeIf { holder != null },
            load = selector.load(main),
            usableUpstreams = selector.usable.size,
            isRetry = attempt.isRetry,
            isUrgent = call.isStreamOpen,
            origin = call.origin,
            needsNewConnection = main.entry.address in call.usedAddresses,
        )
        val updatedCall = call.copy(
            attempts = call.attempts.put(attempt.number, attempt),
            dispatches = call.dispatches + 1,
            possibleArrivals = call.possibleArrivals + 1,
            possibleRuns = call.possibleRuns + 1,
            triedUpstreams = call.triedUpstreams.add(main.entry.id),
            usedAddresses = call.usedAddresses.add(main.entry.address),
            kvCacheCopy = null,
            overBudgetSince = null,
        )
        val counted = retryBudgets.count(state, call, attempt, now)
        val next = counted.with(updatedCall).withAttemptCounted(attempt, +1)
            .withQuotaSpent(main, now)
            .copy(seed = selector.nextSeed)
        return Step(next, persistentListOf(PlacementAction.Send(order, why)))
    }

    /** Ends [call], a stream that no upstream of its software version is left to go on with. */
    private fun failWithoutVersion(
        state: PlacementState,
        call: ActiveCall,
        now: Duration,
        why: String,
    ): Step<PlacementState, PlacementAction> = CallCompletion.fail(
        state,
        call,
        "no upstream of the stream's software version is left, $why",
        now,
        retryAfter = NO_VERSION_RETRY_AFTER,
    )

    private companion object {
        val NO_VERSION_RETRY_AFTER = 5.seconds
        val SUSPECT_RETRY_AFTER = 30.seconds
        val MIN_RETRY_AFTER = 250.milliseconds
        val MAX_RETRY_AFTER = 30.seconds
    }
}
