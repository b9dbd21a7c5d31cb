package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context

/** Long randomised runs with the invariants asserted inside the program. */
class SoakCommand : CliktCommand(name = "soak") {
    override fun help(context: Context): String = "Runs long randomised tests."

    override fun run() = Unit
}
