package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context

/** Groups the commands for calls that may run at most once. */
class CallCommand : CliktCommand(name = "call") {
    override fun help(context: Context): String =
        "Shows and settles calls that may run at most once."

    override fun run() = Unit
}
