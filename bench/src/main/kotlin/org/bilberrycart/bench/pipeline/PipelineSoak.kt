package org.bilberrycart.bench.pipeline

/** Runs the randomised test of a node's pipeline with many seeds. */
object PipelineSoak {
    /** Runs each of [seeds]; a seed with a violation is run again to record its trace. */
    fun run(seeds: LongRange): PipelineReport = seeds.toList().parallelStream()
        .map(::runSeed)
        .reduce(PipelineReport()) { left, right -> left + right }

    /** Runs [seed] with tracing and returns the last lines of the trace. */
    fun trace(seed: Long): List<String> =
        PipelineRun(seed, isTraced = true).run { run().let { trace } }

    private fun runSeed(seed: Long): PipelineReport {
        val report = PipelineRun(seed).run()
        if (report.violations.isEmpty()) return report
        return PipelineRun(seed, isTraced = true).run()
    }
}
