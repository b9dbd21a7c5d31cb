package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context

/** Groups the commands that measure against stand-ins on this machine. */
class MeasureCommand : CliktCommand(name = "measure") {
    override fun help(context: Context): String = "Measures against stand-ins on this machine."

    override fun run() = Unit
}
