package org.bilberrycart.gateway.peers

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.bilberrycart.gateway.model.ConfigurationStatus
import org.bilberrycart.gateway.model.PartReport
import org.bilberrycart.gateway.model.RetryUse

/** Combines what peers report, each as far as it still holds. */
internal object PeerSummaries {
    private val WINDOW = DepartedPeers.RETRY_WINDOW
    private const val MAX_CONTENTS = 16

    /** Returns the summary of the reports in [state] at [now]; [configuration] is this node's. */
    fun summarize(state: PeersState, configuration: TableStatus?, now: Duration): PeerSummary {
        val peers = state.peers.values
        val messages = peers.map { it.message }
        return PeerSummary(
            loads = messages.flatMap { it.loads.entries }
                .groupingBy { it.key }.fold(0) { sum, entry -> sum + entry.value },
            crashes = (
                messages.map { it.crashes } +
                    state.departed.crashes.values.map { it.crashes }
                )
                .flatMap { it.entries }
                .groupingBy { it.key }.fold(emptySet()) { names, entry -> names + entry.value },
            retries = retries(state, now),
            unreached = messages.mapNotNull { message ->
                message.callers?.let { it to message.unreached }
            }.toMap(),
            partReports = messages.map { it.parts }.filterNot { it.isEmpty },
            oldestSeenAt = peers.minOfOrNull { it.lastSeenAt },
            configuration = configuration?.let { statusOf(it, peers) },
        )
    }

    private fun retries(state: PeersState, now: Duration): Map<String, RetryUse> {
        val departed = state.departed.retries.values.map { it.at(now, WINDOW) }
        return (state.peers.values.map { retriesOf(it, now) } + departed).flatMap { it.entries }
            .groupingBy { it.key }.fold(RetryUse()) { sum, entry -> sum + entry.value }
    }

    /** Returns what counts of the report of [peer]; one that is late counts as departed. */
    private fun retriesOf(peer: PeerView, now: Duration): Map<String, RetryUse> {
        val retries = peer.message.retries
        val isLate = now - peer.lastSeenAt > WINDOW / 2
        return when {
            isLate -> DepartedRetries(retries, peer.lastSeenAt, until = now + WINDOW)
                .at(now, WINDOW)
            else -> retries
        }
    }

    /** Returns the part reports of [peers] with their ages at [now]. */
    fun partReports(peers: Collection<PeerView>, now: Duration): List<PartReport> = peers
        .filterNot { it.message.parts.isEmpty }
        .map { it.message.parts.agedBy((now - it.lastSeenAt).inWholeMilliseconds.toInt()) }

    /** Returns the crashes [own] of this node and those that [departed] peers reported. */
    fun knownCrashes(
        own: Map<Long, List<String>>,
        departed: DepartedPeers,
    ): Map<Long, List<String>> {
        if (departed.crashes.isEmpty()) return own
        return (departed.crashes.values.map { it.crashes } + own).flatMap { it.entries }
            .groupBy({ it.key }, { it.value }).entries.toList().takeLast(MAX_CONTENTS)
            .associate { (content, names) -> content to names.flatten().distinct() }
    }

    /** Returns the status of the configuration [own], by the store and by [peers]. */
    private fun statusOf(own: TableStatus, peers: Collection<PeerView>): ConfigurationStatus {
        val (newer, others) = peers.partition { peer ->
            peer.message.editions[own.table]?.let { it > own.edition } == true
        }
        val confirmations = others.mapNotNull { peer ->
            peer.message.configurationAge?.let { peer.lastSeenAt - it.milliseconds }
        }
        return ConfigurationStatus(
            isSuperseded = newer.isNotEmpty(),
            confirmedAt = (confirmations + listOfNotNull(own.confirmedAt)).maxOrNull(),
        )
    }
}
