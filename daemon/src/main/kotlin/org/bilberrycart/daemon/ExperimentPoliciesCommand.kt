package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import kotlinx.serialization.json.Json
import org.bilberrycart.bench.routing.FleetShape
import org.bilberrycart.bench.routing.PolicyExperiment
import org.bilberrycart.bench.routing.PolicyRunReport
import org.bilberrycart.bench.routing.Scenario
import org.bilberrycart.routing.ServiceRouting

/** Compares the routing policies in seeded simulations, without network or engines. */
class ExperimentPoliciesCommand : CliktCommand(name = "experiment-policies") {
    private val seed by option(help = "the seed of the load and the faults").long().default(1)
    private val fleet by option(help = "the size of the emulated fleet")
        .choice("small" to FleetShape.SMALL, "large" to FleetShape.LARGE)
        .default(FleetShape.SMALL)
    private val shortReserve by option(help = "the share of slots that long drafts may not take")
        .double().default(ServiceRouting().shortReserve)
    private val reportMillis by option(help = "milliseconds between load reports").int()
        .default(FleetShape.SMALL.reportMillis)
    private val reportLagMillis by option(
        help = "milliseconds by which load reports are late",
    ).int()
        .default(FleetShape.SMALL.reportLagMillis)
    private val scenario by option(help = "the only scenario to run; all if none is named")
    private val killers by option(
        help = "run with requests that crash engines, instead of the scenarios",
    ).flag()
    private val json by option(help = "print JSON only").flag()

    override fun help(context: Context): String =
        "Simulates admission, suspects and routing with fake engines under a test clock."

    override fun run() {
        val experiment = PolicyExperiment(seed, ServiceRouting(shortReserve = shortReserve))
        val shape = fleet.copy(reportMillis = reportMillis, reportLagMillis = reportLagMillis)
        val scenarios = Scenario.ALL.filter { scenario == null || it.name == scenario }
        val reports = if (killers) experiment.killers(shape) else experiment.run(shape, scenarios)
        if (json) echo(Json.encodeToString(reports)) else reports.forEach { echo(line(it)) }
    }

    private fun line(report: PolicyRunReport): String = listOf(
        report.scenario,
        report.policy,
        "short sent p95 ${report.short.dispatchP95}",
        "p95 ${report.short.firstTokenP95} worst ${report.short.worstMinuteP95} ms",
        "refused ${"%.4f".format(report.short.refused)}",
        "long p95 ${report.long.firstTokenP95} worst ${report.long.worstMinuteP95} ms",
        "refused ${"%.4f".format(report.long.refused)}",
        "sojourn ${report.short.meanSojourn.toLong()}/${report.long.meanSojourn.toLong()} ms",
        "resume p50 ${report.resumeP50} p99 ${report.resumeP99} max ${report.resumeMax} ms",
        "retries ${"%.4f".format(report.retryShare)}",
        "late ${report.short.late}/${report.long.late}",
        "engines lost ${report.enginesLost}, to killers ${report.enginesLostToKillers}",
        "sent ${report.killerSends}, false ${report.falseRefusals}, alone ${report.suspectsAlone}",
        report.refusals.toString(),
    ).joinToString("; ")
}
