package org.bilberrycart.news

import kotlin.math.ceil
import kotlin.math.log2
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.membership.SeededRandom
import org.bilberrycart.model.Fingerprint
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then

internal typealias GossipStep = Step<GossipState, GossipAction>

/**
 * Disseminates items to all nodes by gossip and sums the usage of organisations over the fleet.
 *
 * An item is sent to a few random members for a bounded number of rounds; without new items no
 * gossip is sent. The usage of an organisation is summed on the node that ranks first for it, so
 * that the cost of a node depends on its own load and not on the size of the fleet.
 */
public class GossipFilter : Filter<GossipState, GossipEvent, GossipAction> {
    override fun step(state: GossipState, event: GossipEvent, now: Duration): GossipStep =
        when (event) {
            is GossipEvent.UpstreamLeaving -> Step(
                mergeItem(
                    state,
                    GossipItem.UpstreamLeaving(event.upstream, event.incarnation),
                    now,
                ),
            )
            is GossipEvent.EngineLost -> engineLost(state, event.fingerprint, now)
            is GossipEvent.ConfigurationAdopted ->
                Step(mergeItem(state, GossipItem.ConfigurationVersion(event.version), now))
            is GossipEvent.UsageMeasured -> UsageAggregation.report(state, event.usages, now)
            is GossipEvent.Received -> receive(state, event, now)
            is GossipEvent.MemberChanged -> Step(
                state.copy(members = state.members.put(event.record.member.vm, event.record)),
            )
            GossipEvent.Tick -> tick(state, now)
        }

    private fun receive(
        state: GossipState,
        event: GossipEvent.Received,
        now: Duration,
    ): GossipStep = when (val message = event.message) {
        is GossipPayload.Items -> {
            val start: GossipStep = Step(state)
            message.items.fold(start) { step, received ->
                step.then { receiveItem(it, received, now) }
            }
        }
        is GossipPayload.UsageReport ->
            UsageAggregation.add(state, event.from, message.usages, now)
        is GossipPayload.UsageTotals ->
            Step(state, message.usages.map { GossipAction.FleetUsage(it) }.toPersistentList())
    }

    private fun engineLost(
        state: GossipState,
        fingerprint: Fingerprint,
        now: Duration,
    ): GossipStep {
        val subject = GossipItem.Subject.Request(fingerprint, state.self.vm)
        val known = state.items[subject]?.item as? GossipItem.Crashes
        val item = GossipItem.Crashes(fingerprint, state.self.vm, (known?.engines ?: 0) + 1)
        val next = mergeItem(state, item, now)
        return Step(next, persistentListOf(crashTotal(next, fingerprint)))
    }

    /** Stores an item that another node sent, and reports it if it was not known yet. */
    private fun receiveItem(
        state: GossipState,
        received: GossipPayload.ExpiringItem,
        now: Duration,
    ): GossipStep {
        val item = received.item
        val next = mergeItem(state, item, now, received.remainingMillis.milliseconds)
        if (next === state) return Step(state)
        return Step(next, persistentListOf(actionOf(next, item)))
    }

    private fun actionOf(state: GossipState, item: GossipItem): GossipAction = when (item) {
        is GossipItem.UpstreamLeaving ->
            GossipAction.UpstreamLeaving(item.upstream, item.incarnation)
        is GossipItem.Crashes -> crashTotal(state, item.fingerprint)
        is GossipItem.ConfigurationVersion -> GossipAction.NewerConfiguration(item.version)
    }

    private fun crashTotal(state: GossipState, fingerprint: Fingerprint): GossipAction {
        val engines = state.items.values.map { it.item }.filterIsInstance<GossipItem.Crashes>()
            .filter { it.fingerprint == fingerprint }.sumOf { it.engines }
        return GossipAction.Crashes(fingerprint, engines)
    }

    /** Returns [state] itself if [item] is not newer or there is no capacity for it. */
    private fun mergeItem(
        state: GossipState,
        item: GossipItem,
        now: Duration,
        lifetime: Duration = retention(state.settings, item),
    ): GossipState {
        val known = state.items[item.subject]
        val isFull = known == null && state.items.size >= state.settings.itemCapacity
        if (isFull || known != null && !item.isNewerThan(known.item)) return state
        val expiresAt = now + lifetime.coerceIn(Duration.ZERO, retention(state.settings, item))
        return state.copy(
            items = state.items.put(item.subject, GossipState.KnownItem(item, expiresAt)),
        )
    }

    private fun retention(settings: GossipSettings, item: GossipItem): Duration = when (item) {
        is GossipItem.UpstreamLeaving -> settings.leavingRetention
        is GossipItem.Crashes -> settings.crashRetention
        is GossipItem.ConfigurationVersion -> Duration.INFINITE
    }

    private fun tick(state: GossipState, now: Duration): GossipStep {
        val start: GossipStep = Step(state)
        val gossiped = if (now < state.nextGossip) start else gossip(state, now)
        return gossiped.then {
            if (now < it.nextAntiEntropy) Step(it) else runAntiEntropy(it, now)
        }
    }

    private fun gossip(state: GossipState, now: Duration): GossipStep {
        val next = state.copy(nextGossip = now + state.settings.gossipInterval)
        val limit = sendLimit(next)
        val pending = next.items.values.filter { it.sendCount < limit }
        if (pending.isEmpty()) return Step(next)
        val chosen = pending.sortedBy { it.sendCount }.take(next.settings.itemsPerMessage)
        val counted = chosen.fold(next.items) { map, known ->
            map.put(known.item.subject, known.copy(sendCount = known.sendCount + 1))
        }
        return send(next.copy(items = counted), chosen, next.settings.fanout, now)
    }

    private fun sendLimit(state: GossipState): Int =
        state.settings.retransmissions * ceil(log2(state.members.size + 2.0)).toInt()

    /** Sends random items to one random member, to reach those that missed the gossip rounds. */
    private fun runAntiEntropy(state: GossipState, now: Duration): GossipStep {
        val items = state.items.filterValues { it.expiresAt > now }
        val expired = state.items.keys - items.keys
        val next = state.copy(
            nextAntiEntropy = now + state.settings.antiEntropyInterval,
            items = expired.fold(state.items) { map, subject -> map.remove(subject) },
        )
        val limit = state.settings.itemsPerMessage
        val drawn = SeededRandom.sample(next.seed, items.values.toList(), limit)
        if (drawn.value.isEmpty()) return Step(next)
        return send(next.copy(seed = drawn.seed), drawn.value, 1, now)
    }

    private fun send(
        state: GossipState,
        items: List<GossipState.KnownItem>,
        fanout: Int,
        now: Duration,
    ): GossipStep {
        val drawn = SeededRandom.sample(state.seed, state.reachable(), fanout)
        val message = GossipPayload.Items(
            items.map { GossipPayload.ExpiringItem(it.item, remainingMillis(it, now)) },
        )
        return Step(
            state.copy(seed = drawn.seed),
            drawn.value.map { GossipAction.Send(it, message) }.toPersistentList(),
        )
    }

    private fun remainingMillis(known: GossipState.KnownItem, now: Duration): Long =
        (known.expiresAt - now).inWholeMilliseconds
}
