package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import kotlinx.serialization.json.Json
import org.bilberrycart.bench.trial.Trial
import org.bilberrycart.bench.trial.TrialReport

/** Demonstrates a generation that continues after its engine is killed. */
class TryCommand : CliktCommand(name = "try") {
    private val json by option(help = "print one JSON object only").flag()

    override fun help(context: Context): String =
        "Runs a node with emulated engines and kills the engine in the middle of an answer."

    override fun run() {
        val report = Trial { token -> if (!json) echo(token.text, trailingNewline = false) }.run()
        echo(if (json) Json.encodeToString(TrialReport.serializer(), report) else text(report))
        if (!report.isKept) throw ProgramResult(1)
    }

    private fun text(report: TrialReport): String =
        """

        tokens: ${report.tokens}, each once: ${report.missing == 0 && report.repeated == 0}
        missing: ${report.missing}, repeated: ${report.repeated}, foreign: ${report.foreign}
        engines killed: ${report.enginesKilled}
        resume latency: ${"%.1f".format(report.resumeLatencyMillis)} ms
        """.trimIndent()
}
