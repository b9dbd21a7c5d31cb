package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import kotlinx.serialization.json.Json
import org.bilberrycart.bench.capacity.SettingsCapacity

/** Measures the cost of checking settings and of decoding requests. */
class CapacitySettingsCommand : CliktCommand(name = "settings") {
    private val json by option("--json", help = "Print one JSON object on one line.").flag()

    override fun help(context: Context): String =
        "Time and memory to check settings, by organisations; time to decode, by prompt length."

    override fun run() {
        val figures = SettingsCapacity().run()
        echo(if (json) Json.encodeToString(figures) else PrettyJson.of(figures))
    }
}
