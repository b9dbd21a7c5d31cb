package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import kotlinx.serialization.json.Json
import org.bilberrycart.bench.control.ControlCapacity
import org.bilberrycart.bench.control.ControlFigures

/** Measures the cost per unit of call records, configuration reads and the lease. */
class CapacityPlatformCommand : CliktCommand(name = "platform") {
    private val json by option(help = "print one JSON object only").flag()

    override fun help(context: Context): String =
        "Call records in flight, configuration reads by fleet size, and the lease."

    override fun run() {
        val figures = ControlCapacity().run()
        echo(if (json) Json.encodeToString(figures) else text(figures))
    }

    private fun text(figures: ControlFigures): String = buildString {
        figures.records.forEach { appendLine(it) }
        figures.configuration.forEach { appendLine(it) }
        append(figures.lease)
    }
}
