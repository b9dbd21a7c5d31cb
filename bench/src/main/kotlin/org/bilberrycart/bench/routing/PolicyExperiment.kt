package org.bilberrycart.bench.routing

import org.bilberrycart.routing.RoutingPolicy
import org.bilberrycart.routing.ServiceRouting

/** Compares routing policies with the round-robin baseline on the same seed. */
class PolicyExperiment(
    private val seed: Long,
    private val routing: ServiceRouting = ServiceRouting(),
) {
    /** Runs each policy in each of [scenarios] on a fleet of [shape] and returns the reports. */
    fun run(shape: FleetShape, scenarios: List<Scenario> = Scenario.ALL): List<PolicyRunReport> =
        scenarios.flatMap { scenario ->
            POLICIES.map { policy ->
                PolicyRun(shape, scenario, routing.copy(policy = policy), seed).run()
            }
        }

    /** Runs the scenarios of [Scenario.KILLERS] on a fleet of [shape] and returns the reports. */
    fun killers(shape: FleetShape): List<PolicyRunReport> = Scenario.KILLERS.map { scenario ->
        PolicyRun(shape, scenario, routing, seed).run()
    }

    private companion object {
        val POLICIES: List<RoutingPolicy> = listOf(
            RoutingPolicy.RoundRobin,
            RoutingPolicy.LeastOfRandom(candidates = 1),
            RoutingPolicy.LeastOfRandom(candidates = 2),
            RoutingPolicy.LeastOfRandom(candidates = 4),
            RoutingPolicy.PrefixAffinity(),
            RoutingPolicy.Dedicated(Arrivals.SHORT_WORK_SHARE, candidates = 1),
            RoutingPolicy.Dedicated(Arrivals.SHORT_WORK_SHARE, candidates = 2),
        )
    }
}
