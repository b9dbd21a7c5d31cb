package org.bilberrycart.gateway.node

import java.util.Locale
import kotlin.time.Duration
import org.bilberrycart.gateway.entry.EntryAction
import org.bilberrycart.gateway.lifecycle.LifecycleAction
import org.bilberrycart.gateway.model.CallHead
import org.bilberrycart.gateway.model.RoutedCall
import org.bilberrycart.gateway.peers.PeersAction
import org.bilberrycart.gateway.placement.ActiveCall
import org.bilberrycart.gateway.placement.PlacementAction
import org.bilberrycart.gateway.placement.SendOrder
import org.bilberrycart.gateway.relay.RelayAction
import org.bilberrycart.gateway.watch.ExchangeWatchAction
import org.slf4j.LoggerFactory

/** Logs one line for each decision: `event=name`, then its subject, reason and outcome as keys. */
internal class DecisionLog(private val node: String) {
    fun nodeStarted(settings: GatewaySettings) = log.info(
        "event=started node={} callers={} store={}",
        node,
        settings.callers,
        settings.store,
    )

    fun entry(action: EntryAction) = when (action) {
        is EntryAction.Forward -> log.info(
            "event=accepted request={} route={} service={} organisation={} configuration={} " +
                "continues={} last_event={} forwarded={} prompt_parts={}",
            action.call.head.requestId,
            action.call.route.name,
            action.call.service.name.value,
            action.call.organisation,
            action.version,
            action.call.head.continuedRequest,
            action.call.head.lastEvent,
            action.call.head.earlierArrivals != null,
            partsText(action.call.head),
        )
        is EntryAction.Refuse -> log.info(
            "event=refused request={} code={} reason=\"{}\" configuration={}",
            action.head.requestId,
            action.refusal.code,
            action.refusal.reason,
            action.version,
        )
        // Placement logs how the call ends.
        is EntryAction.ReportGone -> Unit
        is EntryAction.ConfigurationApplied ->
            log.info("event=configuration_in_force version={}", action.configuration.version)
    }

    fun placementFull(call: RoutedCall) = log.warn(
        "event=refused request={} call={} why=\"placement is behind\"",
        call.head.requestId,
        call.key.number,
    )

    fun placement(action: PlacementAction, now: Duration) = when (action) {
        is PlacementAction.Send -> attemptSent(action.order, action.why)
        is PlacementAction.Cancel -> log.info(
            "event=attempt_cancelled call={} attempt={} upstream={} why=\"{}\"",
            action.attempt.call.number,
            action.attempt.number,
            action.upstream.value,
            action.why,
        )
        is PlacementAction.Deliver -> callEnded(
            action.call,
            "answered",
            "status ${action.answer.head.status}, ${action.answer.body.size} bytes",
            now,
        )
        is PlacementAction.Refuse -> callEnded(
            action.call,
            "refused",
            "code ${action.refusal.code}, ${action.refusal.reason}",
            now,
        )
        is PlacementAction.Abort -> callEnded(action.call, "broken_off", action.why, now)
        is PlacementAction.Forget -> callEnded(action.call, "ended", action.why, now)
        is PlacementAction.Resumed -> streamResumed(action)
        is PlacementAction.RetryRefused -> log.info(
            "event=retry_refused request={} call={} service={} why=\"{}\"",
            action.call.call.head.requestId,
            action.call.call.key.number,
            action.call.call.service.name.value,
            action.why,
        )
        is PlacementAction.CrashRecorded -> crashRecorded(action)
        is PlacementAction.IsolationChanged -> log.warn(
            "event=upstreams_{}",
            if (action.isIsolated) "unreachable" else "reached",
        )
        is PlacementAction.PartBlocked -> partBlocked(action)
        is PlacementAction.PartReleased ->
            log.info("event=prompt_part_released part={}", action.part.value)
        is PlacementAction.SeekOrigin -> streamTakenUp(action)
        is PlacementAction.Probe -> log.info(
            "event=probe upstream={} silent_ms={}",
            action.upstream.id.value,
            action.silentMillis,
        )
        is PlacementAction.Identify -> log.info(
            "event=upstream_identify upstream={} replaces={}",
            action.id.value,
            action.replaced.id.value,
        )
        is PlacementAction.UpstreamStatusChanged -> log.info(
            "event=upstream_{} upstream={} why=\"{}\"",
            action.status,
            action.upstream.value,
            action.why,
        )
    }

    private fun streamResumed(action: PlacementAction.Resumed) = log.info(
        "event=stream_resumed request={} call={} attempt={} upstream={} pause_ms={}",
        action.call.call.head.requestId,
        action.call.call.key.number,
        action.attempt.number,
        action.attempt.upstream.value,
        action.pause.inWholeMilliseconds,
    )

    private fun streamTakenUp(action: PlacementAction.SeekOrigin) = log.info(
        "event=stream_taken_up request={} call={} continues={} last_event={}",
        action.call.call.head.requestId,
        action.call.call.key.number,
        action.call.call.head.continuedRequest,
        action.call.call.head.lastEvent,
    )

    private fun crashRecorded(action: PlacementAction.CrashRecorded) = log.info(
        "event=broke_off_at_start request={} call={} upstream={} crashed_upstreams={} " +
            "had_head={} prompt_parts={}",
        action.call.call.head.requestId,
        action.call.call.key.number,
        action.attempt.upstream.value,
        action.crashCount,
        action.attempt.headAt != null,
        partsText(action.call.call.head),
    )

    private fun partBlocked(action: PlacementAction.PartBlocked) = log.info(
        "event=prompt_part_blocked part={} crashed_upstreams={}",
        action.part.value,
        action.crashes.joinToString(",") { it.upstream.value },
    )

    private fun callEnded(state: ActiveCall, event: String, why: String, now: Duration) = log.info(
        "event={} request={} call={} route={} organisation={} attempts={} may_have_run={} " +
            "losses={} elapsed_ms={} why=\"{}\"",
        event,
        state.call.head.requestId,
        state.call.key.number,
        state.call.route.name,
        state.call.organisation,
        state.dispatches,
        state.possibleRuns,
        state.lostAttempts,
        (now - state.call.arrivedAt).inWholeMilliseconds,
        why,
    )

    fun streamOpened(action: RelayAction.Open, now: Duration) = log.info(
        "event=stream_opened request={} status={} elapsed_ms={}",
        action.call.head.requestId,
        action.head.status,
        (now - action.call.arrivedAt).inWholeMilliseconds,
    )

    fun peerStatus(action: PeersAction.PeerStatusChanged) = log.info(
        "event=peer_{} peer={}",
        if (action.isAlive) "heard" else "silent",
        action.address,
    )

    /** Logs one line for all [action] ends, which names the first of them. */
    fun unownedCallsEnded(action: ExchangeWatchAction.EndUnowned) = log.warn(
        "event=unowned_calls_ended calls={} first_calls={}",
        action.calls.size,
        action.calls.take(MAX_LOGGED_CALLS).map { it.number },
    )

    fun lifecycle(action: LifecycleAction) = log.info("event=lifecycle action=\"{}\"", action)

    private fun attemptSent(order: SendOrder, why: String) = log.info(
        "event=sent request={} call={} attempt={} retry={} upstream={} software={} backup={} " +
            "resumed_run={} left_ms={} load={} usable={} new_connection={} why=\"{}\"",
        order.call.head.requestId,
        order.attempt.call.number,
        order.attempt.number,
        order.isRetry,
        order.upstream.id.value,
        order.upstream.softwareVersion,
        order.backup?.id?.value,
        order.resumesFrom?.requestId,
        order.timeLeft.inWholeMilliseconds,
        "%.1f".format(Locale.ROOT, order.load),
        order.usableUpstreams,
        order.needsNewConnection,
        why,
    )

    /** Returns the ids of the shared parts of a prompt, as far as the limit of a line allows. */
    private fun partsText(head: CallHead): String =
        head.sharedParts.take(MAX_LOGGED_PARTS).joinToString(",") { it.value }

    private companion object {
        const val MAX_LOGGED_PARTS = 8
        const val MAX_LOGGED_CALLS = 8
        val log = LoggerFactory.getLogger(DecisionLog::class.java)
    }
}
