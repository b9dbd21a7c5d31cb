package org.bilberrycart.bench.routing

import org.bilberrycart.routing.RoutingPolicy
import org.bilberrycart.routing.ServiceRouting

/** Runs each policy beside the round-robin baseline, on the same seed. */
class PolicyExperiment(
    private val seed: Long,
    private val routing: ServiceRouting = ServiceRouting(),
) {
    /** Returns the report of each policy in each of [scenarios] on [shape]. */
    fun run(shape: FleetShape, scenarios: List<Scenario> = Scenario.ALL): List<RunReport> =
        scenarios.flatMap { scenario ->
            POLICIES.map { policy ->
                PolicyRun(shape, scenario, routing.copy(policy = policy), seed).run()
            }
        }

    /** Returns the reports of the scenarios with bodies that crash engines. */
    fun killers(shape: FleetShape): List<RunReport> = Scenario.KILLERS.map { scenario ->
        PolicyRun(shape, scenario, routing, seed).run()
    }

    private companion object {
        val POLICIES: List<RoutingPolicy> = listOf(
            RoutingPolicy.RoundRobin,
            RoutingPolicy.LeastOfRandom(candidates = 1),
            RoutingPolicy.LeastOfRandom(candidates = 2),
            RoutingPolicy.LeastOfRandom(candidates = 4),
            RoutingPolicy.PrefixAffinity(),
            RoutingPolicy.Dedicated(Arrivals.SHORT_WORK, candidates = 1),
            RoutingPolicy.Dedicated(Arrivals.SHORT_WORK, candidates = 2),
        )
    }
}
