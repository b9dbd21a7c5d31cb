package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context

/** The parent of the measurements against stand-ins. */
class MeasureCommand : CliktCommand(name = "measure") {
    override fun help(context: Context): String = "Measures against stand-ins on this machine."

    override fun run() = Unit
}
