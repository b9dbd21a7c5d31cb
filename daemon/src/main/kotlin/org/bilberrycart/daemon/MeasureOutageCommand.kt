package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import kotlinx.serialization.json.Json
import org.bilberrycart.bench.control.OutageMeasurement
import org.bilberrycart.standins.platform.PlatformFaults

/** Measures the answers that callers get while the platform's table is down. */
class MeasureOutageCommand : CliktCommand(name = "outage") {
    private val kind by option(help = "how the table is down").choice(
        "down" to PlatformFaults(down = true),
        "hang" to PlatformFaults(hang = true),
        "lost" to PlatformFaults(lostAnswers = 1.0),
    ).default(PlatformFaults(down = true))

    override fun help(context: Context): String =
        "Sends calls that may run at most once during an outage; prints one JSON object."

    override fun run() = echo(Json.encodeToString(OutageMeasurement(kind).run()))
}
