package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import kotlinx.serialization.json.Json
import org.bilberrycart.bench.pipeline.PipelineReport
import org.bilberrycart.bench.pipeline.PipelineSoak

/** Simulates all filters of one node under a test clock, with seeded random faults. */
class SoakPipelineCommand : CliktCommand(name = "pipeline") {
    private val seeds by option(help = "the seeds to run, as FROM..TO")
        .convert { parseSeedRange(it) ?: fail("expected FROM..TO, got $it") }
        .default(1L..1_000L)
    private val trace by option(help = "print the end of the trace of each seed").flag()
    private val json by option(help = "print one JSON object only").flag()

    override fun help(context: Context): String =
        "Engines die, pause and go silent; callers vanish, return and cancel."

    override fun run() {
        if (trace) seeds.forEach { seed -> PipelineSoak.trace(seed).forEach { echo(it) } }
        val report = PipelineSoak.run(seeds)
        echo(if (json) JSON.encodeToString(PipelineReport.serializer(), report) else text(report))
        if (report.violations.isNotEmpty()) throw ProgramResult(1)
    }

    private fun text(report: PipelineReport): String = buildString {
        appendLine("seeds: ${report.seeds}, requests: ${report.requests}, faults: ${report.faults}")
        appendLine("tokens: ${report.tokens}, whole: ${report.whole}, refused: ${report.refused}")
        appendLine("violations: ${report.violations.size}")
        report.violations.take(MAX_SHOWN).forEach { violation ->
            appendLine("seed ${violation.seed}: ${violation.violation}")
            violation.trace.takeLast(MAX_TRACE).forEach { appendLine("  $it") }
            appendLine("  again: soak pipeline --seeds ${violation.seed}..${violation.seed}")
        }
    }

    private companion object {
        val JSON = Json { encodeDefaults = true }
        const val MAX_SHOWN = 3
        const val MAX_TRACE = 60
    }
}
