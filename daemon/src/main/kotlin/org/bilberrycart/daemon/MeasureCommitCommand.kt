package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import kotlinx.serialization.json.Json
import org.bilberrycart.bench.control.CommitMeasurement

/** Measures how fast keys are inserted in the platform's table, one or many per transaction. */
class MeasureCommitCommand : CliktCommand(name = "commit") {
    private val rate by option(help = "keys offered each second").double().default(DEFAULT_RATE)
    private val groups by option(
        help = "the most keys in a transaction",
    ).int().default(DEFAULT_GROUPS)

    override fun help(context: Context): String =
        "Inserts keys at the write limit of the platform's table; prints one JSON object."

    override fun run() = echo(Json.encodeToString(CommitMeasurement(rate, groups).run()))

    private companion object {
        const val DEFAULT_RATE = 1_000.0
        const val DEFAULT_GROUPS = 200
    }
}
