package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import org.bilberrycart.standins.platform.PlatformStandIn

/** Runs an emulated platform until the process ends. */
class StandInPlatformCommand : CliktCommand(name = "platform") {
    private val port by option(help = "the port to listen on; 0 for any").int().default(0)

    override fun help(context: Context): String =
        "Runs the platform's table, stores and list of VMs; PUT /v1/faults injects faults."

    override fun run() {
        val standin = PlatformStandIn(port).start()
        echo("""{"port":${standin.port}}""")
        Thread.currentThread().join()
    }
}
