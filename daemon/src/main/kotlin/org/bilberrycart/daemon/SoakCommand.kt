package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context

/** The parent of the randomised runs. */
class SoakCommand : CliktCommand(name = "soak") {
    override fun help(context: Context): String = "Runs randomised checks under many seeds."

    override fun run() = Unit
}
