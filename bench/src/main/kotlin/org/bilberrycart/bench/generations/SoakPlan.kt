package org.bilberrycart.bench.generations

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The parameters of one seeded run.
 *
 * @property tokens the number of tokens of each generation.
 * @property tokenGap the mean time between two tokens of an engine.
 * @property tick the interval of a node's timers.
 * @property faults the number of random faults, all of which begin within [faultWindow].
 * @property script additional faults that begin at fixed times.
 * @property loss the share of messages that are lost; the same share is delivered twice.
 * @property tableLoss the share of table writes that are lost, and of the remaining replies that
 *   are lost on the way back.
 * @property horizon the simulated time by which every caller must have the end of its answer.
 */
data class SoakPlan(
    val nodes: Int = 5,
    val dataCentres: Int = 3,
    val generations: Int = 3,
    val tokens: Int = 40,
    val tokenGap: Duration = 100.milliseconds,
    val tick: Duration = 25.milliseconds,
    val faults: Int = 6,
    val faultWindow: Duration = 6.seconds,
    val loss: Double = 0.05,
    val tableLoss: Double = 0.05,
    val horizon: Duration = 60.seconds,
    val script: List<ScriptedFault> = emptyList(),
    val injectedBug: InjectedBug = InjectedBug.None,
) {
    /**
     * Returns whether an answer of which the caller has received [tokens] tokens must be completed.
     * A run with at most one fault must not lose any answer. A lost message counts as a second
     * fault for an answer that has not begun, so such an answer is only guaranteed without losses.
     */
    fun mustSurvive(tokens: Int): Boolean = faults + script.size <= 1 && (tokens > 0 || loss == 0.0)
}
