package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context

/** The parent of the measurements of slopes for docs/CAPACITY.md. */
class CapacityCommand : CliktCommand(name = "capacity") {
    override fun help(context: Context): String = "Measures the slopes behind docs/CAPACITY.md."

    override fun run() = Unit
}
