package org.bilberrycart.bench.pipeline

/** Runs the decisions of a node under many seeds. */
object PipelineSoak {
    /** Runs each of [seeds]; a seed that shows a violation is run again for its trace. */
    fun run(seeds: LongRange): PipelineReport = seeds.toList().parallelStream()
        .map(::runSeed)
        .reduce(PipelineReport()) { left, right -> left + right }

    /** Returns the end of the trace of the run with [seed]. */
    fun trace(seed: Long): List<String> =
        PipelineRun(seed, isTraced = true).run { run().let { trace } }

    private fun runSeed(seed: Long): PipelineReport {
        val report = PipelineRun(seed).run()
        if (report.violations.isEmpty()) return report
        return PipelineRun(seed, isTraced = true).run()
    }
}
