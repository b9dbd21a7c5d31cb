package org.bilberrycart.bench.generations

import java.util.concurrent.Callable
import java.util.concurrent.Executors

/** Runs many seeds on a small thread pool and sums up their results. */
class GenerationSoak(private val plan: SoakPlan = SoakPlan(), private val threads: Int = 2) {
    /**
     * Runs all [seeds]. Each seed that finds a violation runs a second time with a trace, and
     * [onViolation] receives the result of that run on a thread of the pool.
     */
    fun run(seeds: LongRange, onViolation: (SoakResult) -> Unit = {}): SoakReport {
        val pool = Executors.newFixedThreadPool(threads)
        try {
            val parts = seeds.chunked(SEEDS_PER_TASK).map { chunk ->
                pool.submit(Callable { chunk.map { runSeed(it, onViolation) }.reduce(::add) })
            }
            return parts.map { it.get() }.reduce(::add)
        } finally {
            pool.shutdown()
        }
    }

    private fun runSeed(seed: Long, onViolation: (SoakResult) -> Unit): SoakReport {
        val result = SoakRun(seed, plan).run()
        result.violation?.let { onViolation(SoakRun(seed, plan, traced = it.request).run()) }
        return SoakReport(
            seeds = 1,
            generations = result.generations.toLong(),
            tokens = result.tokens,
            faults = result.faults.toLong(),
            takeovers = result.takeovers,
            whole = result.whole.toLong(),
            refused = result.refused.toLong(),
            violations = if (result.violation == null) 0 else 1,
            failedSeeds = if (result.violation == null) emptyList() else listOf(seed),
        )
    }

    private fun add(a: SoakReport, b: SoakReport) = SoakReport(
        seeds = a.seeds + b.seeds,
        generations = a.generations + b.generations,
        tokens = a.tokens + b.tokens,
        faults = a.faults + b.faults,
        takeovers = a.takeovers + b.takeovers,
        whole = a.whole + b.whole,
        refused = a.refused + b.refused,
        violations = a.violations + b.violations,
        failedSeeds = a.failedSeeds + b.failedSeeds,
    )

    private companion object {
        const val SEEDS_PER_TASK = 50
    }
}
