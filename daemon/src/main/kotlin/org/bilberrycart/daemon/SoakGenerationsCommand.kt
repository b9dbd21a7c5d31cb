package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import kotlinx.serialization.json.Json
import org.bilberrycart.bench.generations.GenerationSoak
import org.bilberrycart.bench.generations.InjectedBug
import org.bilberrycart.bench.generations.SoakPlan
import org.bilberrycart.bench.generations.SoakReport
import org.bilberrycart.bench.generations.SoakResult

/** Simulates replication and takeover on several nodes under seeded random faults. */
class SoakGenerationsCommand : CliktCommand(name = "generations") {
    private val seeds by option(help = "the seeds to run, such as 1..10000")
        .convert { parseSeedRange(it) ?: fail("expected FROM..TO, got $it") }
        .default(1L..100L)
    private val threads by option(help = "threads that run seeds").int().default(2)
    private val planted by option(help = "a deliberate fault, to test the checks").choice(
        "none" to InjectedBug.None,
        "no-fence" to InjectedBug.NoFence,
        "forgetful-table" to InjectedBug.ForgetfulTable,
    ).default(InjectedBug.None)
    private val faults by option(help = "faults in each run; with one, no answer may be lost")
        .int().default(SoakPlan().faults)
    private val loss by option(help = "the share of messages that are lost")
        .double().default(SoakPlan().loss)
    private val json by option(help = "print the result as JSON").flag()

    override fun help(context: Context): String =
        "Checks that no released token is ever contradicted, whichever nodes fail."

    override fun run() {
        val soak =
            GenerationSoak(SoakPlan(faults = faults, loss = loss, injectedBug = planted), threads)
        val report = soak.run(seeds) { explain(it) }
        echo(if (json) Json.encodeToString(SoakReport.serializer(), report) else "$report")
        if (report.violations > 0) throw ProgramResult(1)
    }

    private fun explain(result: SoakResult) {
        val lines = listOf("seed ${result.seed}: ${result.violation}") +
            result.trace.takeLast(TRACE_LINES)
        echo(lines.joinToString("\n"), err = true)
    }

    private companion object {
        const val TRACE_LINES = 80
    }
}
