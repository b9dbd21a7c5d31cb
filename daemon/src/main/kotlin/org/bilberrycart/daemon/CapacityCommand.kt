package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context

/** Groups the commands that measure the figures of docs/CAPACITY.md. */
class CapacityCommand : CliktCommand(name = "capacity") {
    override fun help(context: Context): String =
        "Measures the cost per unit that docs/CAPACITY.md is based on."

    override fun run() = Unit
}
