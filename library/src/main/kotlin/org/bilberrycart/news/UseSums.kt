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

/** Adds up the use of each organisation on the node that ranks first for it. */
internal object UseSums {
    /** Sends the use on this node to the nodes that add it up. */
    fun report(state: NewsState, uses: List<OrganisationUse>, now: Duration): NewsStep {
        val homes = state.reachable() + state.self
        val byHome = uses.groupBy { home(it.organisation, homes) }
        val start: NewsStep = Step(state)
        return byHome.entries.fold(start) { step, (home, part) ->
            step.then { next ->
                if (home.vm == state.self.vm) {
                    add(next, state.self, part, now)
                } else {
                    val send = NewsAction.Send(home, NewsMessage.UseReport(part))
                    Step(next, listOf(send).toPersistentList())
                }
            }
        }
    }

    private fun home(organisation: OrganisationId, homes: List<Member>): Member =
        RendezvousRanking.best(RequestId(organisation.value), homes)

    /** Takes a report of [from] in and answers with the sums. */
    fun add(state: NewsState, from: Member, uses: List<OrganisationUse>, now: Duration): NewsStep {
        val reports = uses.fold(state.reports) { map, use ->
            val known = map[use.organisation] ?: persistentHashMapOf()
            val fresh = known.entries.filter { now - it.value.at > state.settings.useRetention }
                .fold(known) { kept, (vm, _) -> kept.remove(vm) }
            map.put(use.organisation, fresh.put(from.vm, NewsState.Report(use, now)))
        }
        val totals = uses.map { use ->
            reports.getValue(use.organisation).values.map { it.use }.reduce { a, b -> a + b }
        }
        val actions = when (from.vm) {
            state.self.vm -> totals.map { NewsAction.FleetUse(it) }
            else -> listOf(NewsAction.Send(from, NewsMessage.UseTotals(totals)))
        }
        return Step(state.copy(reports = reports), actions.toPersistentList())
    }
}
