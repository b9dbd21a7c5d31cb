package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import kotlinx.serialization.json.Json
import org.bilberrycart.bench.experiment.Experiment
import org.bilberrycart.bench.experiment.ExperimentPlot
import org.bilberrycart.bench.experiment.ExperimentReport
import org.bilberrycart.bench.experiment.ExperimentRun
import org.bilberrycart.bench.experiment.PolicyReport

/** Compares routing policies under the same seeded load and fault schedule. */
class ExperimentCommand : CliktCommand(name = "experiment") {
    private val json by option(help = "print one JSON object only").flag()
    private val plot by option(metavar = "FILE", help = "write a plot as PNG").path()
    private val file by argument(help = "an experiment in JSON with comments").path()

    override fun help(context: Context): String =
        "Runs FILE: a load with faults against stand-ins, under each policy in turn."

    override fun run() {
        val report = ExperimentRun(Experiment.read(file)).run()
        plot?.let { ExperimentPlot.write(report, it) }
        echo(if (json) Json.encodeToString(ExperimentReport.serializer(), report) else text(report))
        if (!report.isKept) throw ProgramResult(1)
    }

    private fun text(report: ExperimentReport): String =
        (listOf(HEADER) + report.policies.map(::line)).joinToString("\n")

    private fun line(report: PolicyReport): String = listOf(
        report.policy,
        report.shortFirstToken.p95.formatted(),
        report.shortFirstToken.worstMinuteP95.formatted(),
        report.steadyFirstToken.p95.formatted(),
        report.interToken.p99.formatted(),
        report.interToken.worstMinuteP99.formatted(),
        report.resume.count.toString(),
        report.resume.p50.formatted(),
        report.resume.p99.formatted(),
        report.resume.worstMinuteP99.formatted(),
        report.extraPercent.formatted(),
        report.worstMinuteExtraPercent.formatted(),
        report.totals.whole.toString(),
        report.totals.refusals.values.sum().toString(),
        report.totals.broken.values.sum().toString(),
        report.totals.late.toString(),
    ).joinToString(" | ", prefix = "| ", postfix = " |")

    private fun Double.formatted(): String = "%.1f".format(this)

    private companion object {
        const val HEADER =
            "| policy | short first token p95 ms | worst minute | others p95 ms | " +
                "between tokens p99 ms | worst minute | resumes | resume p50 ms | p99 ms | " +
                "worst minute p99 | extra use % | worst minute | whole | refused | broken | " +
                "late |\n" +
                "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- " +
                "| --- | --- | --- |"
    }
}
