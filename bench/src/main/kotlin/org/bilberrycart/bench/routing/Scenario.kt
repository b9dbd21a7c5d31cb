package org.bilberrycart.bench.routing

import kotlinx.serialization.Serializable

/**
 * What happens in a policy run.
 *
 * @property load the arriving work as a share of what the fleet can do with full batches.
 * @property burstFactor by how much the last organisation multiplies its load in the middle part.
 * @property lostShare the share of the engines that die together in the middle of the run.
 * @property lossesPerMinute engines that die one by one each minute.
 * @property killers bodies that crash each engine that runs them, sent again and again.
 */
@Serializable
data class Scenario(
    val name: String,
    val load: Double,
    val burstFactor: Double = 1.0,
    val lostShare: Double = 0.0,
    val lossesPerMinute: Int = 0,
    val killers: Int = 0,
    val minutes: Int = 10,
) {
    companion object {
        private const val HIGH = 0.9

        /** The scenarios in which policies are compared. */
        val ALL: List<Scenario> = listOf(
            Scenario("steady", load = HIGH),
            Scenario("burst", load = HIGH, burstFactor = 10.0),
            Scenario("third-lost", load = 0.6, lostShare = 1.0 / 3),
            Scenario("loss-a-minute", load = 0.7, lossesPerMinute = 1),
        )

        /** The scenarios with bodies that crash engines. */
        val KILLERS: List<Scenario> = listOf(
            Scenario("one-killer", load = 0.7, killers = 1),
            Scenario("three-killers", load = 0.7, killers = 3),
            Scenario("killer-and-losses", load = 0.7, killers = 1, lossesPerMinute = 1),
            Scenario("losses-only", load = 0.7, lossesPerMinute = 2),
        )
    }
}
