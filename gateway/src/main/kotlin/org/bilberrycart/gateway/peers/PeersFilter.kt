package org.bilberrycart.gateway.peers

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.bilberrycart.gateway.model.RetryUse
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.withActions

/**
 * Exchanges gossip messages with other nodes and summarizes what they report.
 *
 * Messages are best-effort: each replaces the previous one of its sender, so that a lost message
 * does no harm. A peer that has sent nothing for [PEER_TIMEOUT], or for [MISSED_MESSAGES] intervals
 * of a large fleet, is removed.
 */
public class PeersFilter : Filter<PeersState, PeersEvent, PeersAction> {
    override fun step(
        state: PeersState,
        event: PeersEvent,
        now: Duration,
    ): Step<PeersState, PeersAction> = when (event) {
        is PeersEvent.Received -> received(state, event.message, now)
        is PeersEvent.Tick -> tick(state, event, now)
    }

    private fun received(
        state: PeersState,
        message: GossipMessage,
        now: Duration,
    ): Step<PeersState, PeersAction> {
        val known = state.peers[message.sender]
        if (message.sender == state.self || isOld(known?.message, message)) return Step(state)
        val view = PeerView(message, now)
        val earlier = listOfNotNull(known?.takeIf { it.start != view.start })
        val next = state.copy(
            peers = state.peers.put(message.sender, view),
            candidates = state.candidates.addAll(message.members).add(message.sender)
                .remove(state.self),
            lossTimes = state.lossTimes.putAll(
                message.lossAges.mapValues { now - it.value.milliseconds },
            ),
            departed = state.departed.with(earlier, now).without(view.start),
        )
        val isNew = known == null
        val actions = listOfNotNull(
            PeersAction.PeerStatusChanged(message.sender, isAlive = true, next.peers.size)
                .takeIf { isNew },
            PeersAction.TableEditions(message.sender, message.editions)
                .takeIf {
                    known?.message?.editions != message.editions ||
                        message.sequence % EDITIONS_PERIOD == 0L
                },
        )
        return Step(next, actions.toPersistentList())
    }

    private fun isOld(known: GossipMessage?, message: GossipMessage): Boolean = known != null &&
        when {
            message.incarnation != known.incarnation -> message.incarnation < known.incarnation
            else -> message.sequence <= known.sequence
        }

    private fun tick(
        state: PeersState,
        event: PeersEvent.Tick,
        now: Duration,
    ): Step<PeersState, PeersAction> {
        val timeout = maxOf(PEER_TIMEOUT, interval(state) * MISSED_MESSAGES)
        val silent = state.peers.filterValues { now - it.lastSeenAt > timeout }
        val remaining = state.copy(
            peers = state.peers.filterKeys { it !in silent }.toPersistentMap(),
            departed = state.departed.at(now).with(silent.values, now),
        )
        val summarized = summarize(remaining, event, now)
        val known = PeerSummaries.knownCrashes(event.crashes, remaining.departed)
        val report = event.copy(crashes = known)
        val sent = sendToPeers(summarized.state, report, now)
        val contacted = contactCandidates(sent.state, report, now)
        return Step(
            contacted.state,
            silent.keys.map<String, PeersAction> {
                PeersAction.PeerStatusChanged(it, isAlive = false, remaining.peers.size)
            }.toPersistentList().addAll(summarized.actions).addAll(sent.actions)
                .addAll(contacted.actions),
        )
    }

    /** Returns the time between two messages to all peers, which grows with their number. */
    private fun interval(state: PeersState): Duration = when {
        state.peers.size <= SMALL_PEER_COUNT -> INTERVAL_PER_PEER
        else -> LONG_INTERVAL_PER_PEER
    } * state.peers.size

    /**
     * Sends a message to all peers if one is due. Changes are sent sooner than heartbeats, and the
     * interval grows with the number of peers.
     */
    private fun sendToPeers(
        state: PeersState,
        event: PeersEvent.Tick,
        now: Duration,
    ): Step<PeersState, PeersAction> {
        val isChanged = state.lastSent?.loads != event.loads ||
            state.lastSent.editions != event.editions ||
            state.lastSent.crashes != event.crashes ||
            hasNewRetries(event.retries, state.lastSent.retries) ||
            !state.lastSent.parts.hasSameSubjects(event.parts) ||
            state.lastSent.unreached != event.unreached ||
            state.lastSent.callers != event.callers ||
            event.lossAges.isNotEmpty()
        val interval = interval(state)
        val isEarly = now - state.lastSentAt <
            if (isChanged) interval else maxOf(interval, HEARTBEAT_INTERVAL)
        if (state.peers.isEmpty() || isEarly) return Step(state)
        return send(state.copy(lastSentAt = now), state.peers.keys.toList(), event, now)
    }

    private fun hasNewRetries(now: Map<String, RetryUse>, sent: Map<String, RetryUse>): Boolean =
        now.any { (service, use) -> use.retries > (sent[service]?.retries ?: 0) }

    /** Sends a message to candidate addresses from which none has been received. */
    private fun contactCandidates(
        state: PeersState,
        event: PeersEvent.Tick,
        now: Duration,
    ): Step<PeersState, PeersAction> {
        val unseen = state.candidates.filterNot { it in state.peers }
        val isDue = now - state.lastContactAt >= CONTACT_INTERVAL || state.sequence == 0L
        if (unseen.isEmpty() || !isDue) return Step(state)
        return send(state.copy(lastContactAt = now), unseen.rotatedBy(state.sequence), event, now)
    }

    private fun send(
        state: PeersState,
        addresses: List<String>,
        event: PeersEvent.Tick,
        now: Duration,
    ): Step<PeersState, PeersAction> {
        val message = GossipMessage(
            sender = state.self,
            incarnation = state.incarnation,
            sequence = state.sequence + 1,
            members = state.peers.keys.take(MAX_MEMBERS),
            loads = event.loads,
            lossAges = event.lossAges,
            editions = event.editions,
            crashes = event.crashes,
            retries = event.retries,
            parts = event.parts,
            configurationAge = event.configuration?.confirmedAt
                ?.let { (now - it).inWholeMilliseconds.toInt() },
            callers = event.callers,
            unreached = event.unreached,
        )
        return Step(
            state.copy(sequence = message.sequence, lastSent = message),
            persistentListOf(PeersAction.Send(addresses, message)),
        )
    }

    /** Reports the summary of what the peers say to placement if it has changed. */
    private fun summarize(
        state: PeersState,
        event: PeersEvent.Tick,
        now: Duration,
    ): Step<PeersState, PeersAction> {
        val interval =
            if (state.peers.size <= SMALL_PEER_COUNT) SUMMARY_INTERVAL else LONG_SUMMARY_INTERVAL
        if (now - state.summarizedAt < interval) return Step(state)
        val summary = PeerSummaries.summarize(state, event.configuration, now)
        val isSame = isSame(summary, state.summary) && state.lossTimes.isEmpty()
        if (isSame && state.peers.keys == state.summarizedPeers) return Step(state)
        val lossAges = state.lossTimes.mapValues { (now - it.value).inWholeMilliseconds.toInt() }
        return state.copy(
            summary = summary,
            summarizedPeers = state.peers.keys,
            summarizedAt = now,
            lossTimes = persistentMapOf(),
        ).withActions(
            PeersAction.SummaryChanged(
                summary.copy(
                    lossAges = lossAges,
                    partReports = PeerSummaries.partReports(state.peers.values, now),
                ),
                state.peers.keys,
            ),
        )
    }

    /** Whether [summary] tells nothing new; without a change, times are told now and then only. */
    private fun isSame(summary: PeerSummary, before: PeerSummary): Boolean {
        val told = before.oldestSeenAt
        val confirmedAt = before.configuration?.confirmedAt
        val sameTimes = summary.copy(
            oldestSeenAt = told,
            configuration = summary.configuration?.copy(confirmedAt = confirmedAt),
        )
        return isWithin(AGE_STEP, told, summary.oldestSeenAt) &&
            isWithin(CONFIRMATION_STEP, confirmedAt, summary.configuration?.confirmedAt) &&
            sameTimes == before
    }

    private fun isWithin(step: Duration, told: Duration?, time: Duration?): Boolean =
        if (told == null || time == null) told == time else time - told < step

    private fun List<String>.rotatedBy(number: Long): List<String> {
        val start = Math.floorMod(number, size)
        return (drop(start) + take(start)).take(MAX_CONTACTED)
    }

    private companion object {
        val PEER_TIMEOUT = 1500.milliseconds
        const val MISSED_MESSAGES = 3.5
        val HEARTBEAT_INTERVAL = 400.milliseconds
        val INTERVAL_PER_PEER = 7.milliseconds
        const val SMALL_PEER_COUNT = 8

        /** Used for more than [SMALL_PEER_COUNT] peers. */
        val LONG_INTERVAL_PER_PEER = 14.milliseconds

        val SUMMARY_INTERVAL = 20.milliseconds

        /** Used for more than [SMALL_PEER_COUNT] peers, whose messages are further apart. */
        val LONG_SUMMARY_INTERVAL = 60.milliseconds
        val CONTACT_INTERVAL = 1.seconds

        /** Smaller progress of the oldest report is not told by itself. */
        val AGE_STEP = 100.milliseconds

        /** Smaller progress of the time of the last confirmation is not told by itself. */
        val CONFIRMATION_STEP = 1.seconds
        const val MAX_MEMBERS = 16
        const val MAX_CONTACTED = 4

        /** Unchanged editions of tables are reported again after this many messages of a peer. */
        const val EDITIONS_PERIOD = 8
    }
}
