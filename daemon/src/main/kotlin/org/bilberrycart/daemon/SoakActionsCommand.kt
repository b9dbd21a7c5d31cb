package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.enum
import kotlinx.serialization.json.Json
import org.bilberrycart.bench.actions.ActionReport
import org.bilberrycart.bench.actions.ActionSoak
import org.bilberrycart.bench.actions.InjectedBug

/** Runs calls that may run at most once on several nodes, with faults chosen by seeds. */
class SoakActionsCommand : CliktCommand(name = "actions") {
    private val seeds by option(help = "the seeds to run, as FROM..TO")
        .convert { parseSeedRange(it) ?: fail("expected FROM..TO, got $it") }
        .default(1L..1_000L)
    private val planted by option(help = "a deliberate fault in the fake table, to test the checks")
        .enum<InjectedBug>().default(InjectedBug.NONE)
    private val json by option(help = "print one JSON object only").flag()

    override fun help(context: Context): String =
        "Nodes crash and pause, the table loses answers, callers retry with the same key."

    override fun run() {
        val report = ActionReport.of(ActionSoak(injectedBug = planted), seeds)
        echo(if (json) Json.encodeToString(report) else text(report))
        if (report.violations.isNotEmpty()) throw ProgramResult(1)
    }

    private fun text(report: ActionReport): String = buildString {
        appendLine("seeds: ${report.seeds}, calls: ${report.calls}, faults: ${report.faults}")
        appendLine("executions: ${report.executions}, answers: ${report.answers}")
        append("violations: ${report.violations.size}")
        report.violations.take(MAX_SHOWN).forEach { append("\n  $it") }
    }

    private companion object {
        const val MAX_SHOWN = 10
    }
}
