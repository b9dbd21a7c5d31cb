package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.gateway.model.AttemptKey
import org.bilberrycart.gateway.model.CallFingerprint
import org.bilberrycart.gateway.model.StreamOrigin
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then
import org.bilberrycart.pipeline.withActions

/** Decides which upstream each call is sent to, when it is retried, and when it ends. */
public class PlacementFilter(private val settings: PlacementSettings = PlacementSettings()) :
    Filter<PlacementState, PlacementEvent, PlacementAction> {
    private val retryBudgets = RetryBudgets(settings)
    private val callPlacement = CallPlacement(settings, retryBudgets)
    private val lossRecovery = LossRecovery(settings, callPlacement, retryBudgets)
    private val answerHandling = AnswerHandling(lossRecovery)
    private val timeoutChecks = TimeoutChecks(settings, callPlacement, lossRecovery)

    override fun step(
        state: PlacementState,
        event: PlacementEvent,
        now: Duration,
    ): Step<PlacementState, PlacementAction> = when (event) {
        is PlacementEvent.Submit -> submitted(state, ActiveCall.of(event.call), now)
        is PlacementEvent.OriginFound -> originFound(state, event, now)
        is PlacementEvent.VersionsLimited -> lossRecovery.versionsLimited(state, event, now)
        is PlacementEvent.CallerGone ->
            state.calls[event.key]?.let { CallCompletion.forget(state, it, "caller gone") }
                ?: Step(state)
        is PlacementEvent.Answered -> answered(state, event, now)
        is PlacementEvent.Unsent -> lossRecovery.unsent(state, event.attempt, event.cause, now)
        is PlacementEvent.AttemptFailed -> recordCrash(state, event.attempt, now)
            .then { PartChecks.attemptFailed(it, event.attempt, now) }
            .then { lossRecovery.attemptFailed(it, event.attempt, event.cause, now) }
            .then { PartChecks.failUnbegun(state.parts, it, now) }
        is PlacementEvent.StreamOpened ->
            RateLimits.answered(state, event.attempt, event.rateLimit, now)
                .then { streamProgressed(it, event.attempt, now, hasEvents = false) }
        is PlacementEvent.StreamProgressed ->
            streamProgressed(state, event.attempt, now, hasEvents = true)
        is PlacementEvent.BegunElsewhere -> lossRecovery.begunElsewhere(state, event, now)
        is PlacementEvent.StreamCompleted -> streamCompleted(state, event.attempt, now)
        is PlacementEvent.UpstreamsListed ->
            UpstreamRegistry.applyListing(state, event.entries, now)
        is PlacementEvent.Identified -> UpstreamRegistry.applyIdentification(state, event)
        is PlacementEvent.Probed -> probed(state, event, now)
        is PlacementEvent.PeerReport ->
            Step<PlacementState, PlacementAction>(
                withPeerLoads(withPeerReport(state, event), event, now),
            ).then { PartChecks.reported(it, event.partReports, now) }
                .then { PartChecks.failUnbegun(state.parts, it, now) }
        is PlacementEvent.CrashesRecalled ->
            PartChecks.reported(withRecalled(state, event), event.partReports, now)
                .then { PartChecks.failUnbegun(state.parts, it, now) }
        is PlacementEvent.UpstreamStated -> UpstreamStatements.stated(state, event, now)
        PlacementEvent.NodeStops -> endAll(state, now)
        PlacementEvent.Tick ->
            UpstreamRegistry.removeExpired(state, now).then { timeoutChecks.check(it, now) }
    }

    private fun submitted(
        state: PlacementState,
        call: ActiveCall,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        if (!call.isTakenUp) return callPlacement.place(state, call, now, "new")
        val waiting = call.copy(origin = StreamOrigin.Sought)
        return state.with(waiting).withActions(PlacementAction.SeekOrigin(waiting))
    }

    private fun originFound(
        state: PlacementState,
        event: PlacementEvent.OriginFound,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val call = state.calls[event.call]?.takeIf { it.origin == StreamOrigin.Sought }
            ?: return Step(state)
        return when (event.origin) {
            null -> CallCompletion.fail(
                state,
                call,
                "nobody knows at which software version the stream began",
                now,
                retryAfter = UNKNOWN_ORIGIN_RETRY_AFTER,
            )
            else -> callPlacement.place(state, call.copy(origin = event.origin), now, "taken up")
        }
    }

    /** Ends all calls; each caller learns whether its call may have run. */
    private fun endAll(
        state: PlacementState,
        now: Duration,
    ): Step<PlacementState, PlacementAction> = state.calls.values.fold(Step(state)) { step, call ->
        step.then { CallCompletion.fail(it, call, "the node stops", now) }
    }

    private fun answered(
        state: PlacementState,
        event: PlacementEvent.Answered,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val head = event.answer.head
        // A rejection or a garbled head may lack the limit that the upstream still has.
        val isLimitKnown = head.rateLimit != null || head.isSigned && !head.didNotRun
        val limited = when {
            head.isMisdirected || !isLimitKnown -> Step(state)
            else -> RateLimits.answered(state, event.attempt, head.rateLimit, now)
        }
        return limited.then { answerHandling.handle(it, event.attempt, event.answer, now) }
    }

    /** Records a crash if the upstream of attempt [key] failed before it sent an event. */
    private fun recordCrash(
        state: PlacementState,
        key: AttemptKey,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val call = state.calls[key.call] ?: return Step(state)
        val attempt = call.attempts[key.number]?.takeUnless { it.hasEvents || it.isForwarded }
            ?: return Step(state)
        val content = CallFingerprint.of(call.call)
        val run = state.upstreams[attempt.upstream]?.let { Incarnation.of(it.entry) }
            ?: Incarnation(attempt.upstream, startedAtMillis = null)
        val crashes = state.crashes.withCrash(content, run, now)
        return state.copy(crashes = crashes)
            .withActions(
                PlacementAction.CrashRecorded(call, attempt, crashes.crashCount(content, now)),
            )
    }

    private fun withRecalled(
        state: PlacementState,
        event: PlacementEvent.CrashesRecalled,
    ): PlacementState = state.copy(crashes = state.crashes.copy(recalled = event.crashes))

    private fun withPeerReport(
        state: PlacementState,
        event: PlacementEvent.PeerReport,
    ): PlacementState = state.copy(
        crashes = state.crashes.copy(reported = event.crashes),
        nodeCount = maxOf(event.share.peers.size + 1, state.nodeCount ?: 1),
        peerRetries = event.retries,
        oldestPeerSeenAt = event.oldestSeenAt,
        configuration = event.configuration,
        forwardingPeers = event.forwardingPeers,
    ).let { if (event.share == state.share) it else withShare(it, event.share) }

    private fun withShare(state: PlacementState, share: NodeShare): PlacementState =
        state.upstreams.values.fold(state.copy(share = share)) { next, view ->
            next.with(view.copy(rank = share.rank(view.entry.id)))
        }

    private fun streamProgressed(
        state: PlacementState,
        key: AttemptKey,
        now: Duration,
        hasEvents: Boolean,
    ): Step<PlacementState, PlacementAction> {
        val call = state.calls[key.call] ?: return Step(state)
        // The relay forwards an abandoned attempt until the next one begins.
        val attempt = call.attempts[key.number]
            ?: return Step(state.with(call.copy(isStreamOpen = true)))
        val updatedAttempt = attempt.copy(
            lastSeenAt = now,
            headAt = attempt.headAt ?: now,
            hasEvents = attempt.hasEvents || hasEvents,
        )
        val pausedSince = call.silentSince.takeIf { hasEvents }
        val isFirst = hasEvents && !attempt.hasEvents
        val answered = if (isFirst) state.withCallAnswered(call, now) else state
        val next = call.copy(
            attempts = call.attempts.put(key.number, updatedAttempt),
            isStreamOpen = true,
            origin = when {
                isFirst && call.origin == StreamOrigin.NotBegun ->
                    StreamOrigin.BegunAt(attempt.softwareVersion)
                else -> call.origin
            },
            silentSince = if (hasEvents) null else call.silentSince,
        )
        return Step(
            answered.with(next).update(attempt.upstream) { it.withSignOfLife(now) },
            listOfNotNull(
                pausedSince?.let { PlacementAction.Resumed(next, updatedAttempt, now - it) },
            ).toPersistentList<PlacementAction>(),
        ).then { PartChecks.streamProgressed(it, next, attempt, now) }
    }

    private fun streamCompleted(
        state: PlacementState,
        key: AttemptKey,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val call = state.calls[key.call] ?: return Step(state)
        val attempt = call.attempts[key.number] ?: return Step(state)
        val seen = state.update(attempt.upstream) { it.withSignOfLife(now) }
        return PartChecks.answered(seen, call, now).then {
            CallCompletion.forget(it, call, "stream complete", finishedAttempt = key.number)
        }
    }

    private fun probed(
        state: PlacementState,
        event: PlacementEvent.Probed,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val view = state.upstreams[event.upstream] ?: return Step(state)
        return when {
            event.isAlive -> Step(state.with(view.withSignOfLife(now)))
            view.probeSentAt == null -> Step(state)
            else -> lossRecovery.upstreamDead(state, event.upstream, event.cause, now)
        }
    }

    private fun withPeerLoads(
        state: PlacementState,
        event: PlacementEvent.PeerReport,
        now: Duration,
    ): PlacementState = state.upstreams.values.fold(state) { next, view ->
        val id = view.entry.id
        val lostAt = event.recentlyLost[id]?.let { now - it }
        val updated = view.copy(peerLoad = event.loads[id] ?: 0)
        when {
            updated == view && lostAt == null -> next
            lostAt != null && lostAt > view.lastSeenAt && view.failures == 0 ->
                next.with(
                    updated.copy(
                        failures = 1,
                        downUntil = lostAt + settings.initialDownTime * 2,
                    ),
                )
            else -> next.with(updated)
        }
    }

    private companion object {
        val UNKNOWN_ORIGIN_RETRY_AFTER = 1.seconds
    }
}
