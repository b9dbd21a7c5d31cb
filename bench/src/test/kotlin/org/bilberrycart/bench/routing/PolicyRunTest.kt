package org.bilberrycart.bench.routing

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.bilberrycart.routing.RoutingPolicy
import org.bilberrycart.routing.ServiceRouting

private data class KillerCase(val seed: Long, val killers: Int) : WithDataTestName {
    override fun dataTestName(): String = "request bodies that crash engines: $killers, seed $seed"
}

private const val MINUTES = 5

private fun run(scenario: Scenario, policy: RoutingPolicy = ServiceRouting().policy, seed: Long) =
    PolicyRun(
        FleetShape.SMALL,
        scenario.copy(minutes = MINUTES),
        ServiceRouting(policy),
        seed,
    ).run()

class PolicyRunTest :
    FunSpec({
        test("the same seed gives the same report") {
            val scenario = Scenario("losses", load = 0.7, lossesPerMinute = 2)
            run(scenario, seed = 5) shouldBe run(scenario, seed = 5)
        }

        context(
            "a request body that crashes engines costs at most three, however often it is sent",
        ) {
            withData(KillerCase(seed = 1, killers = 1), KillerCase(seed = 2, killers = 1)) { case ->
                val scenario = Scenario("killers", load = 0.5, killers = case.killers)
                val report = run(scenario, seed = case.seed)
                report.enginesLostToKillers shouldBeLessThanOrEqual 3L * case.killers
                report.falseRefusals shouldBe 0
            }
        }

        test("the default policy has a lower worst-minute p95 than round robin on the same seed") {
            val scenario = Scenario("steady", load = 0.9)
            val default = run(scenario, seed = 1).short.worstMinuteP95
            val baseline = run(scenario, RoutingPolicy.RoundRobin, seed = 1).short.worstMinuteP95
            default shouldBeLessThan baseline
        }
    })
