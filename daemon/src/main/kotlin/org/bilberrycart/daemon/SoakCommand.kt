package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context

/** Groups the commands that run randomised checks. */
class SoakCommand : CliktCommand(name = "soak") {
    override fun help(context: Context): String = "Runs randomised checks under many seeds."

    override fun run() = Unit
}
