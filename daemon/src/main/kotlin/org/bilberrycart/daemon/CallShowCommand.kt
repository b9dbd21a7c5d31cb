package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import kotlinx.serialization.json.Json
import org.bilberrycart.idempotency.CallSettler
import org.bilberrycart.idempotency.ReadResult
import org.bilberrycart.store.HttpTableClient

/** Prints the record of a call from the platform's table. */
class CallShowCommand : CliktCommand(name = "show") {
    private val call by RecordKeyOptions()

    override fun help(context: Context): String =
        "Shows the record of a call in the platform's table."

    override fun run() = HttpTableClient(call.platform).use { table ->
        when (val result = CallSettler(table).read(call.recordKey)) {
            is ReadResult.Found -> echo(
                result.stored?.record?.let { Json.encodeToString(it) } ?: "no record",
            )
            ReadResult.Failed -> {
                echo("the table does not answer", err = true)
                throw ProgramResult(1)
            }
        }
    }
}
