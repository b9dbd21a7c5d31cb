package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.long
import kotlinx.serialization.json.Json
import org.bilberrycart.bench.processes.ProcessReport
import org.bilberrycart.bench.processes.ProcessSoak

/** Runs nodes and stand-ins as processes and kills, pauses and silences them. */
class SoakProcessesCommand : CliktCommand(name = "processes") {
    private val minutes by option(help = "minutes that the load lasts").double().default(1.0)
    private val seed by option(help = "the seed of load and faults").long().default(1)
    private val json by option(help = "print one JSON object only").flag()

    override fun help(context: Context): String =
        "Four node processes under load while nodes, engines and the platform fail."

    override fun run() {
        val report = ProcessSoak(seed, minutes).run()
        echo(if (json) Json.encodeToString(ProcessReport.serializer(), report) else text(report))
        if (report.violations.isNotEmpty()) throw ProgramResult(1)
    }

    private fun text(report: ProcessReport): String = buildString {
        appendLine("requests: ${report.requests}, tokens: ${report.tokens}")
        appendLine("actions: ${report.actions}, executions: ${report.executions}")
        appendLine("faults: ${report.faults}, reconnects: ${report.reconnects}")
        appendLine("whole: ${report.whole}, refused by code: ${report.refused}")
        appendLine(
            "next token after a node's death: p50 ${report.resumeP50Millis} ms, " +
                "p99 ${report.resumeP99Millis} ms of ${report.resumed}",
        )
        appendLine("violations: ${report.violations.size}")
        report.violations.take(MAX_SHOWN).forEach { appendLine("seed ${it.seed}: ${it.what}") }
    }

    private companion object {
        const val MAX_SHOWN = 20
    }
}
