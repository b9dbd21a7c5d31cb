package org.bilberrycart.gateway.placement

import kotlin.random.Random
import kotlin.time.Duration
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.gateway.model.AttemptKey
import org.bilberrycart.gateway.model.RetryRule
import org.bilberrycart.pipeline.Step

/**
 * Forwards calls to other nodes while this one can't reach their upstreams.
 *
 * The other node treats such a call like one of its own callers, but forwards it no further. It
 * counts the dispatches in the retry budget.
 */
internal class Forwarding {
    /** Returns the node that [call] is to be forwarded to, or null if it is not to be forwarded. */
    fun peerFor(
        state: PlacementState,
        call: ActiveCall,
        selector: LeastLoadedSelector,
    ): ForwardingPeer? {
        val isCutOff =
            state.isIsolated || call.unsentAttempts >= MAX_UNSENT || selector.areAllDown
        val mayForward = call.call.head.earlierArrivals == null && call.forwards < MAX_FORWARDS
        if (!mayForward || !isCutOff) return null
        return state.forwardingPeers
            .filter { call.call.service.name !in it.unreached && it.id !in call.triedUpstreams }
            .randomOrNull(Random(state.seed))
    }

    /** Sends [call] to [peer], because of [why]. */
    fun send(
        state: PlacementState,
        call: ActiveCall,
        peer: ForwardingPeer,
        nextSeed: Long,
        now: Duration,
        why: String,
    ): Step<PlacementState, PlacementAction> {
        val entry = peer.entryFor(call)
        val attempt = Attempt(
            number = call.dispatches + 1,
            upstream = peer.id,
            sentAt = now,
            softwareVersion = entry.softwareVersion,
            possibleRuns = possibleRuns(call),
            isForwarded = true,
        )
        val order = SendOrder(
            attempt = AttemptKey(call.call.key, attempt.number),
            call = call.call,
            upstream = entry,
            timeLeft = call.call.deadline - now,
            usableUpstreams = 0,
            isUrgent = call.isStreamOpen,
            origin = call.origin,
            earlierArrivals = call.possibleArrivals,
            needsNewConnection = entry.address in call.usedAddresses,
        )
        val next = call.copy(
            attempts = call.attempts.put(attempt.number, attempt),
            dispatches = call.dispatches + 1,
            forwards = call.forwards + 1,
            possibleArrivals = call.possibleArrivals + 1,
            possibleRuns = call.possibleRuns + attempt.possibleRuns,
            triedUpstreams = call.triedUpstreams.add(peer.id),
            usedAddresses = call.usedAddresses.add(entry.address),
            kvCacheCopy = null,
            overBudgetSince = null,
        )
        return Step(
            state.copy(seed = nextSeed).with(next),
            persistentListOf(PlacementAction.Send(order, "forwarded, $why")),
        )
    }

    /** Returns how many upstreams the other node may try; a stream rarely needs more than one. */
    private fun possibleRuns(call: ActiveCall): Int = when (call.call.route.retryRule) {
        is RetryRule.Stream -> 1
        RetryRule.Idempotent, RetryRule.AtMostOnce ->
            maxOf(call.call.route.maxAttempts - call.possibleRuns, 1)
    }

    /** Holds a limit. */
    companion object {
        /** Attempts of a call that found no connection, from which on it is forwarded. */
        const val MAX_UNSENT = 2

        /** A service that two other nodes can't serve is likely to be down. */
        private const val MAX_FORWARDS = 2
    }
}
