package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import kotlinx.serialization.json.Json
import org.bilberrycart.bench.capacity.MetricsCapacity

/** Measures the cost of metrics by the number of organisations. */
class CapacityMetricsCommand : CliktCommand(name = "metrics") {
    private val json by option("--json", help = "Print one JSON object on one line.").flag()

    override fun help(context: Context): String =
        "State, registry and scrape of the metrics duty by organisations and series."

    override fun run() {
        val figures = MetricsCapacity().run()
        echo(if (json) Json.encodeToString(figures) else PrettyJson.of(figures))
    }
}
