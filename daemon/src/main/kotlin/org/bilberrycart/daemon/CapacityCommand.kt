package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context

/** Measures the slopes from which docs/CAPACITY.md is worked out. */
class CapacityCommand : CliktCommand(name = "capacity") {
    override fun help(context: Context): String = "Measures what a part of the system costs."

    override fun run() = Unit
}
