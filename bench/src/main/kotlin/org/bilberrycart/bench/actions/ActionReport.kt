package org.bilberrycart.bench.actions

import kotlinx.serialization.Serializable

/**
 * The counts and violations of the runs of [ActionSoak] with a range of seeds.
 *
 * @property seeds the number of runs, one for each seed.
 * @property calls the number of calls that callers made.
 * @property faults the number of faults that occurred.
 * @property executions how often the service executed a call.
 * @property answers how often callers received each result, by its name.
 * @property violations one line for each violation found in a history, with the seed of its run.
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
        /** Runs [soak] with each of [seeds] and sums up the results. */
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
