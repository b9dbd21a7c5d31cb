package org.bilberrycart.bench.generations

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What one seeded run goes through.
 *
 * @property tokens the length of each generation.
 * @property faults how many faults strike, all within [faultTime].
 * @property script faults that strike besides, at set moments.
 * @property loss the share of messages that are lost; as many are repeated.
 * @property tableLoss the share of writes lost on the way, and of answers lost on the way back.
 * @property horizon when each caller must have an end.
 */
data class SoakPlan(
    val nodes: Int = 5,
    val dataCentres: Int = 3,
    val generations: Int = 3,
    val tokens: Int = 40,
    val tokenGap: Duration = 100.milliseconds,
    val tick: Duration = 25.milliseconds,
    val faults: Int = 6,
    val faultTime: Duration = 6.seconds,
    val loss: Double = 0.05,
    val tableLoss: Double = 0.05,
    val horizon: Duration = 60.seconds,
    val script: List<ScriptedFault> = emptyList(),
    val planted: PlantedFault = PlantedFault.None,
) {
    /** Whether each answer must be whole: no single fault may cost one. */
    val mustSurvive: Boolean
        get() = faults + script.size <= 1
}
