package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import kotlinx.serialization.json.Json
import org.bilberrycart.bench.routing.RoutingCapacity

/** Measures the cost of admission and routing by the number of upstreams and organisations. */
class CapacityRoutingCommand : CliktCommand(name = "routing") {
    private val json by option(help = "print JSON only").flag()

    override fun help(context: Context): String =
        "Processor time and state of the decisions, by upstreams and by organisations."

    override fun run() {
        val report = RoutingCapacity().measure()
        if (json) {
            echo(Json.encodeToString(report))
        } else {
            (report.byUpstreams + report.byOrganisations).forEach { echo(it) }
            echo("by upstreams: ${report.microsPerUpstream}, ${report.bytesPerUpstream}")
            echo("by organisations: ${report.microsPerOrganisation}")
            echo("by organisations: ${report.bytesPerOrganisation}")
        }
    }
}
