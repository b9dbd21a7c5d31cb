package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import kotlinx.serialization.json.Json
import org.bilberrycart.standins.engine.EngineSettings
import org.bilberrycart.standins.engine.EngineStandIn

/** Runs an emulated model engine until the process ends. */
class StandInEngineCommand : CliktCommand(name = "engine") {
    private val port by option(help = "the port to listen on; 0 for any").int().default(0)
    private val controlPort by option(
        help = "the port that takes faults; 0 for any",
    ).int().default(0)
    private val settings by option(help = "an EngineSettings object in JSON").default("{}")

    override fun help(context: Context): String = "Runs an emulated model engine."

    override fun run() {
        val base = Json.decodeFromString<EngineSettings>(settings)
        val engine = EngineStandIn(base.copy(port = port, controlPort = controlPort)).start()
        echo("""{"port":${engine.port},"controlPort":${engine.controlPort}}""")
        Thread.currentThread().join()
    }
}
