package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import kotlinx.serialization.json.Json
import org.bilberrycart.standins.service.ServiceStandIn
import org.bilberrycart.standins.service.StandInServiceSettings

/** Runs an emulated plain service until the process ends. */
class StandInServiceCommand : CliktCommand(name = "service") {
    private val port by option(help = "the port to listen on; 0 for any").int().default(0)
    private val controlPort by option(
        help = "the port that takes faults; 0 for any",
    ).int().default(0)
    private val settings by option(help = "a ServiceSettings object in JSON").default("{}")

    override fun help(context: Context): String = "Runs an emulated plain service."

    override fun run() {
        val base = Json.decodeFromString<StandInServiceSettings>(settings)
        val service = ServiceStandIn(base.copy(port = port, controlPort = controlPort)).start()
        echo("""{"port":${service.port},"controlPort":${service.controlPort}}""")
        Thread.currentThread().join()
    }
}
