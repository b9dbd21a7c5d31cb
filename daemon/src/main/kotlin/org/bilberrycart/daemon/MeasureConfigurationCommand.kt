package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import kotlinx.serialization.json.Json
import org.bilberrycart.bench.control.ConfigurationMeasurement

/** Measures how long an accepted change takes until it is in force on all nodes. */
class MeasureConfigurationCommand : CliktCommand(name = "configuration") {
    private val nodes by option(
        help = "emulated nodes, each with the control duties only",
    ).int().default(DEFAULT_NODES)
    private val changes by option(help = "changes applied").int().default(DEFAULT_CHANGES)

    override fun help(context: Context): String =
        "Applies changes to control duties in one process; prints one JSON object."

    override fun run() = echo(Json.encodeToString(ConfigurationMeasurement(nodes, changes).run()))

    private companion object {
        const val DEFAULT_NODES = 4
        const val DEFAULT_CHANGES = 100
    }
}
