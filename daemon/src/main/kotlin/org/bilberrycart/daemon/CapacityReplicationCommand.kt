package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import kotlinx.serialization.json.Json
import org.bilberrycart.bench.replication.ReplicationCapacity

/** Measures the bytes that replication sends and the memory that it takes. */
class CapacityReplicationCommand : CliktCommand(name = "replication") {
    private val json by option(help = "print the result as JSON").flag()

    override fun help(context: Context): String = "Measures the cost of replication."

    override fun run() {
        val report = ReplicationCapacity().run()
        echo(if (json) Json.encodeToString(report) else PrettyJson.of(report))
    }
}
