package org.bilberrycart.bench.routing

import kotlinx.serialization.Serializable

/**
 * The load and the faults of a policy run.
 *
 * @property load the work that arrives, as a share of what the fleet can do with full batches.
 * @property burstFactor the factor by which the load of the last organisation grows during the
 * burst, which is in the middle of the run.
 * @property lostShare the share of the engines that crash together in the middle of the run.
 * @property lossesPerMinute how many engines crash each minute, one by one.
 * @property killers how many request bodies crash each engine that runs them; they are sent
 * repeatedly.
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
        private const val HIGH_LOAD = 0.9

        /** The scenarios in which policies are compared. */
        val ALL: List<Scenario> = listOf(
            Scenario("steady", load = HIGH_LOAD),
            Scenario("burst", load = HIGH_LOAD, burstFactor = 10.0),
            Scenario("third-lost", load = 0.6, lostShare = 1.0 / 3),
            Scenario("loss-a-minute", load = 0.7, lossesPerMinute = 1),
        )

        /** The scenarios with request bodies that crash engines, and one without for comparison. */
        val KILLERS: List<Scenario> = listOf(
            Scenario("one-killer", load = 0.7, killers = 1),
            Scenario("three-killers", load = 0.7, killers = 3),
            Scenario("killer-and-losses", load = 0.7, killers = 1, lossesPerMinute = 1),
            Scenario("losses-only", load = 0.7, lossesPerMinute = 2),
        )
    }
}
