package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context

/** Groups the commands that run stand-ins. */
class StandInCommand : CliktCommand(name = "standin") {
    override fun help(context: Context): String = "Runs an emulated upstream."

    override fun run() = Unit
}
