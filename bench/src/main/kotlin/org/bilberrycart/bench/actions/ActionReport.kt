package org.bilberrycart.bench.actions

import kotlinx.serialization.Serializable

/**
 * What a range of seeds of [ActionSoak] brought.
 *
 * @property answers how often callers got each result.
 * @property violations one line for each broken promise, with its seed.
 */
@Serializable
data class ActionReport(
    val seeds: Int,
    val calls: Int,
    val faults: Int,
    val executions: Int,
    val answers: Map<String, Int>,
    val violations: List<String>,
) {
    companion object {
        /** Runs [seeds] with [soak]. */
        fun of(soak: ActionSoak, seeds: LongRange): ActionReport {
            val results = seeds.map { soak.run(it) }
            return ActionReport(
                seeds = results.size,
                calls = results.sumOf { it.calls },
                faults = results.sumOf { it.faults },
                executions = results.sumOf { it.executions },
                answers = results.flatMap { it.answers.entries }
                    .groupingBy { it.key }
                    .fold(0) { sum, entry -> sum + entry.value }
                    .toSortedMap(),
                violations = results.flatMap { result ->
                    result.violations.map { "seed ${result.seed}: $it" }
                },
            )
        }
    }
}
