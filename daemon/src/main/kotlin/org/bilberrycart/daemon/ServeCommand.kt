package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread
import org.bilberrycart.node.Node
import org.bilberrycart.settings.Settings
import org.bilberrycart.settings.SettingsFolder
import org.bilberrycart.settings.SettingsResult

/** Runs one node until the process is told to stop; on SIGTERM the node drains first. */
class ServeCommand : CliktCommand(name = "serve") {
    private val config by option(
        "--config",
        metavar = "FOLDER",
        help = "A folder or file of settings; later ones refine earlier ones.",
    ).path().multiple(required = true)

    override fun help(context: Context): String = "Runs a node with the settings in FOLDER."

    override fun run() {
        when (val result = SettingsFolder.read(config)) {
            is SettingsResult.Valid -> serve(result.settings)
            is SettingsResult.Invalid -> {
                echo(result.describe(), err = true)
                throw ProgramResult(1)
            }
        }
    }

    private fun serve(settings: Settings) {
        LogSetup.use(settings.node.log)
        val node = Node(settings).start()
        val stopped = CountDownLatch(1)
        val drain = thread(start = false, name = "drain") {
            node.drain()
            node.close()
            stopped.countDown()
        }
        Runtime.getRuntime().addShutdownHook(drain)
        stopped.await()
    }
}
