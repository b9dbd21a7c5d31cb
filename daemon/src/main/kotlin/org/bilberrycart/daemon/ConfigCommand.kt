package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.subcommands

/** Groups the commands that work on settings folders. */
class ConfigCommand : CliktCommand(name = "config") {
    init {
        subcommands(
            ConfigCheckCommand(),
            ConfigShowCommand(),
            ConfigDiffCommand(),
            ConfigApplyCommand(),
            ConfigHistoryCommand(),
        )
    }

    override fun help(context: Context): String =
        "Checks, shows, compares and applies settings folders."

    override fun run() = Unit
}
