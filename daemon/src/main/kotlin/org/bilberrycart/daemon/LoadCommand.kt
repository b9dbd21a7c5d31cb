package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import kotlinx.serialization.json.Json
import org.bilberrycart.bench.fleet.FleetPlan
import org.bilberrycart.bench.fleet.LocalFleet
import org.bilberrycart.bench.load.LoadPart
import org.bilberrycart.bench.load.LoadSuite
import org.bilberrycart.bench.load.LoadTestReport
import org.bilberrycart.settings.ReplicaPolicy
import org.bilberrycart.settings.ServiceSettings
import org.bilberrycart.settings.SettingsFolder
import org.bilberrycart.settings.SettingsResult

/** Measures a node under a seeded load, and the same engines without the node for comparison. */
class LoadCommand : CliktCommand(name = "load") {
    private val json by option(help = "print one JSON object only").flag()
    private val seed by option(help = "the seed of the load").long().default(1)
    private val seconds by option(help = "seconds during which requests arrive").int().default(30)
    private val streams by option(help = "streams open at a time").int().default(300)
    private val rate by option(help = "tokens offered each second").int().default(3_600)
    private val part by option(help = "what to measure; all if none is named")
        .enum<LoadPart>(ignoreCase = true).multiple()
    private val policies by option(
        metavar = "FOLDER",
        help = "Settings whose first generation service sets the resume policies.",
    ).path()

    override fun help(context: Context): String =
        "Measures the latency that a node adds, its saturation, footprint and resume latency."

    override fun run() {
        val suite = LoadSuite(seed, seconds, streams, rate, service())
        val report = suite.run(part.ifEmpty { LoadPart.entries }.toSet())
        echo(if (json) Json.encodeToString(LoadTestReport.serializer(), report) else text(report))
        if (!report.hasExactTokens) throw ProgramResult(1)
    }

    private fun service(): ServiceSettings.Generation {
        val folder = policies ?: return FleetPlan.DEFAULT_SERVICE
        return when (val result = SettingsFolder.readFleet(listOf(folder))) {
            is SettingsResult.Valid ->
                result.settings.services.values
                    .filterIsInstance<ServiceSettings.Generation>()
                    .first()
                    .copy(models = LocalFleet.MODELS, replica = ReplicaPolicy.RELEASE_ALONE)
            is SettingsResult.Invalid -> throw UsageError(result.describe())
        }
    }

    private fun text(report: LoadTestReport): String = LoadTable.lines(report).joinToString("\n")
}
