package org.bilberrycart.news

import kotlin.time.Duration
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.membership.Member
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestId
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then
import org.bilberrycart.replication.RendezvousRanking

/** Sums the usage of each organisation on the node that ranks first for it, its aggregator. */
internal object UsageAggregation {
    /** Sends the usage on this node to the aggregator of each organisation. */
    fun report(state: GossipState, usages: List<OrganisationUsage>, now: Duration): GossipStep {
        val candidates = state.reachable() + state.self
        val byAggregator = usages.groupBy { aggregator(it.organisation, candidates) }
        val start: GossipStep = Step(state)
        return byAggregator.entries.fold(start) { step, (aggregator, part) ->
            step.then { next ->
                if (aggregator.vm == state.self.vm) {
                    add(next, state.self, part, now)
                } else {
                    val send = GossipAction.Send(aggregator, GossipPayload.UsageReport(part))
                    Step(next, listOf(send).toPersistentList())
                }
            }
        }
    }

    private fun aggregator(organisation: OrganisationId, candidates: List<Member>): Member =
        RendezvousRanking.best(RequestId(organisation.value), candidates)

    /** Stores a report of [from] and answers with the sums over all nodes. */
    fun add(
        state: GossipState,
        from: Member,
        usages: List<OrganisationUsage>,
        now: Duration,
    ): GossipStep {
        val reports = usages.fold(state.reports) { map, usage ->
            val known = map[usage.organisation] ?: persistentHashMapOf()
            val current = known.entries
                .filter { now - it.value.receivedAt > state.settings.usageRetention }
                .fold(known) { kept, (vm, _) -> kept.remove(vm) }
            map.put(usage.organisation, current.put(from.vm, GossipState.ReceivedUsage(usage, now)))
        }
        val totals = usages.map { usage ->
            reports.getValue(usage.organisation).values.map { it.usage }.reduce { a, b -> a + b }
        }
        val actions = when (from.vm) {
            state.self.vm -> totals.map { GossipAction.FleetUsage(it) }
            else -> listOf(GossipAction.Send(from, GossipPayload.UsageTotals(totals)))
        }
        return Step(state.copy(reports = reports), actions.toPersistentList())
    }
}
