package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import org.bilberrycart.standins.platform.PlatformStandin

/** Runs an emulated platform until the process ends. */
class StandInPlatformCommand : CliktCommand(name = "platform") {
    private val port by option(help = "the port to listen on; 0 for any").int().default(0)
    private val seed by option(help = "the seed of its faults").long().default(1)

    override fun help(context: Context): String = "Runs an emulated platform."

    override fun run() {
        val platform = PlatformStandin(port, seed).start()
        echo("""{"port":${platform.port}}""")
        Thread.currentThread().join()
    }
}
