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

internal typealias NewsStep = Step<NewsState, NewsAction>

/**
 * Spreads what each node has to know soon, and adds up the use of organisations.
 *
 * An item is sent to a few random members for a bounded number of rounds, and silence costs
 * nothing. The use of an organisation is added up on the node that ranks first for it, so that the
 * cost of a node follows its own load and not the size of the fleet.
 */
public class NewsFilter : Filter<NewsState, NewsEvent, NewsAction> {
    override fun step(state: NewsState, event: NewsEvent, now: Duration): NewsStep = when (event) {
        is NewsEvent.UpstreamLeaving -> Step(
            learn(state, NewsItem.UpstreamLeaving(event.upstream, event.incarnation), now),
        )
        is NewsEvent.EngineLost -> engineLost(state, event.fingerprint, now)
        is NewsEvent.ConfigurationAdopted ->
            Step(learn(state, NewsItem.ConfigurationVersion(event.version), now))
        is NewsEvent.Used -> UseSums.report(state, event.uses, now)
        is NewsEvent.Received -> receive(state, event, now)
        is NewsEvent.MemberChanged -> Step(
            state.copy(members = state.members.put(event.record.member.vm, event.record)),
        )
        NewsEvent.Tick -> tick(state, now)
    }

    private fun receive(state: NewsState, event: NewsEvent.Received, now: Duration): NewsStep =
        when (val message = event.message) {
            is NewsMessage.Gossip -> {
                val start: NewsStep = Step(state)
                message.items.fold(start) { step, spreading ->
                    step.then { heard(it, spreading, now) }
                }
            }
            is NewsMessage.UseReport -> UseSums.add(state, event.from, message.uses, now)
            is NewsMessage.UseTotals ->
                Step(state, message.uses.map { NewsAction.FleetUse(it) }.toPersistentList())
        }

    private fun engineLost(state: NewsState, fingerprint: Fingerprint, now: Duration): NewsStep {
        val subject = NewsItem.Subject.Request(fingerprint, state.self.vm)
        val known = state.items[subject]?.item as? NewsItem.Crashes
        val item = NewsItem.Crashes(fingerprint, state.self.vm, (known?.engines ?: 0) + 1)
        val next = learn(state, item, now)
        return Step(next, persistentListOf(crashes(next, fingerprint)))
    }

    /** Takes in an item of another node if it is news. */
    private fun heard(
        state: NewsState,
        spreading: NewsMessage.Spreading,
        now: Duration,
    ): NewsStep {
        val item = spreading.item
        val next = learn(state, item, now, spreading.keepMillis.milliseconds)
        if (next === state) return Step(state)
        return Step(next, persistentListOf(actionOf(next, item)))
    }

    private fun actionOf(state: NewsState, item: NewsItem): NewsAction = when (item) {
        is NewsItem.UpstreamLeaving ->
            NewsAction.UpstreamLeaving(item.upstream, item.incarnation)
        is NewsItem.Crashes -> crashes(state, item.fingerprint)
        is NewsItem.ConfigurationVersion -> NewsAction.NewerConfiguration(item.version)
    }

    private fun crashes(state: NewsState, fingerprint: Fingerprint): NewsAction {
        val engines = state.items.values.map { it.item }.filterIsInstance<NewsItem.Crashes>()
            .filter { it.fingerprint == fingerprint }.sumOf { it.engines }
        return NewsAction.Crashes(fingerprint, engines)
    }

    /** Returns [state] itself if [item] is no news. */
    private fun learn(
        state: NewsState,
        item: NewsItem,
        now: Duration,
        keep: Duration = retention(state.settings, item),
    ): NewsState {
        val known = state.items[item.subject]
        val isFull = known == null && state.items.size >= state.settings.itemCapacity
        if (isFull || known != null && !item.isNewerThan(known.item)) return state
        val until = now + keep.coerceIn(Duration.ZERO, retention(state.settings, item))
        return state.copy(items = state.items.put(item.subject, NewsState.Known(item, until)))
    }

    private fun retention(settings: NewsSettings, item: NewsItem): Duration = when (item) {
        is NewsItem.UpstreamLeaving -> settings.leavingRetention
        is NewsItem.Crashes -> settings.crashRetention
        is NewsItem.ConfigurationVersion -> Duration.INFINITE
    }

    private fun tick(state: NewsState, now: Duration): NewsStep {
        val start: NewsStep = Step(state)
        val gossiped = if (now < state.nextGossip) start else gossip(state, now)
        return gossiped.then { if (now < it.nextRepair) Step(it) else repair(it, now) }
    }

    private fun gossip(state: NewsState, now: Duration): NewsStep {
        val next = state.copy(nextGossip = now + state.settings.gossipPeriod)
        val limit = roundLimit(next)
        val fresh = next.items.values.filter { it.sent < limit }
        if (fresh.isEmpty()) return Step(next)
        val chosen = fresh.sortedBy { it.sent }.take(next.settings.itemsPerMessage)
        val sent = chosen.fold(next.items) { map, known ->
            map.put(known.item.subject, known.copy(sent = known.sent + 1))
        }
        return send(next.copy(items = sent), chosen, next.settings.fanout, now)
    }

    private fun roundLimit(state: NewsState): Int =
        state.settings.retransmissions * ceil(log2(state.members.size + 2.0)).toInt()

    /** Repeats a few items to one member, for those that were not there when they spread. */
    private fun repair(state: NewsState, now: Duration): NewsStep {
        val items = state.items.filterValues { it.until > now }
        val expired = state.items.keys - items.keys
        val next = state.copy(
            nextRepair = now + state.settings.repairPeriod,
            items = expired.fold(state.items) { map, subject -> map.remove(subject) },
        )
        val room = state.settings.itemsPerMessage
        val drawn = SeededRandom.sample(next.seed, items.values.toList(), room)
        if (drawn.value.isEmpty()) return Step(next)
        return send(next.copy(seed = drawn.seed), drawn.value, 1, now)
    }

    private fun send(
        state: NewsState,
        items: List<NewsState.Known>,
        fanout: Int,
        now: Duration,
    ): NewsStep {
        val drawn = SeededRandom.sample(state.seed, state.reachable(), fanout)
        val message = NewsMessage.Gossip(
            items.map { NewsMessage.Spreading(it.item, keepMillis(it, now)) },
        )
        return Step(
            state.copy(seed = drawn.seed),
            drawn.value.map { NewsAction.Send(it, message) }.toPersistentList(),
        )
    }

    private fun keepMillis(known: NewsState.Known, now: Duration): Long =
        (known.until - now).inWholeMilliseconds
}
