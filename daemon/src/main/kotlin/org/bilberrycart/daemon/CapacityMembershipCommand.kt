package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.int
import kotlinx.serialization.json.Json
import org.bilberrycart.bench.membership.MembershipCapacity

/** Measures the cost of membership per node in fleets of several sizes. */
class CapacityMembershipCommand : CliktCommand(name = "membership") {
    private val sizes by option(help = "fleet sizes that a line is fitted to").int().split(",")
        .default(listOf(4, 16, 48, 128))
    private val target by option(
        help = "the fleet size to predict and then measure",
    ).int().default(330)
    private val json by option(help = "print the result as JSON").flag()

    override fun help(context: Context): String = "Measures the cost of membership."

    override fun run() {
        val report = MembershipCapacity(sizes, target).run()
        echo(if (json) Json.encodeToString(report) else PrettyJson.of(report))
    }
}
